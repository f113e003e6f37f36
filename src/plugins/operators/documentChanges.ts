/**
 * Service for configuration changes that operators submit as documents, and for reading the
 * document in force. Only the leader handles requests; any other instance returns the address of
 * the leader. A refusal means that nothing was changed; if the outcome is not known, it is reported
 * as `unknown`.
 */
import { createHash } from 'node:crypto';
import type {
  ConfigurationHistory,
  AppliedChange,
  Document,
  DocumentChange,
  DocumentReader,
} from '../../core/agreement/configurationHistory.js';
import { encodeDocument } from '../../core/agreement/configurationHistory.js';
import type { ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** A leader whose last confirmation by a quorum is older is probably partitioned, in ms. */
const maxConfirmedAgeMs = 600;
/** After this time, the outcome of a proposal is reported as unknown, in ms. */
const outcomeLimitMs = 3_000;

export type DocumentOutcome =
  | { readonly outcome: 'accepted' }
  /** The document in force is not the base of this one, or the number of this one is too low. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly message: string }
  | { readonly outcome: 'unknown' }
  | NotLeader;

/** This instance is not the leader. `leader` is the peer address of the leader if it is known. */
export interface NotLeader {
  readonly outcome: 'not_here';
  readonly leader: string | undefined;
}

export type DocumentReadResult =
  { readonly outcome: 'read'; readonly text: string } | { readonly outcome: 'none' } | NotLeader;

export interface DocumentChanges {
  readonly commands: { submit(text: string): Promise<DocumentOutcome> };
  readonly queries: {
    /** Reads the document in force, after a quorum has confirmed the leader. */
    read(): Promise<DocumentReadResult>;
  };
}

export interface DocumentChangesOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly readDocument: DocumentReader;
  /** No change is accepted with fewer voters, while the members of a new cluster join. */
  readonly minVoters: number;
  readonly timer: Timer;
  readonly log: Log;
}

const createChangeId = (text: string): string =>
  `document-${createHash('sha256').update(text).digest('hex')}`;

/** Creates the document service of a control instance. */
export const createDocumentChanges = (options: DocumentChangesOptions): DocumentChanges => {
  const { group, history, readDocument, minVoters, timer, log } = options;
  const { queries } = group;

  const notLeader = (): NotLeader => ({
    outcome: 'not_here',
    leader: queries.role() === 'leader' ? undefined : queries.leader()?.address,
  });

  const isLeading = (): boolean =>
    queries.role() === 'leader' && queries.confirmedAgeMs() <= maxConfirmedAgeMs;

  /** Runs an operation that only the leader may run. Returns undefined on any other instance. */
  const runAsLeader = async <Result>(
    operation: () => Promise<Result>,
  ): Promise<Result | undefined> => {
    if (!isLeading()) {
      return undefined;
    }
    try {
      await queries.confirmRead();
      return await operation();
    } catch (error) {
      const isNotRun = error instanceof Failure && error.run === 'not_run';
      if (isNotRun && error.reason !== 'change_too_large') {
        log.info('document not accepted', { reason: error.reason });
        return undefined;
      }
      throw error;
    }
  };

  const toOutcome = ({ result }: AppliedChange): DocumentOutcome =>
    result.outcome === 'refused' ? { outcome: 'conflict' } : { outcome: 'accepted' };

  const propose = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const timeout = timer.sleep(outcomeLimitMs).then(() => undefined);
    const applied = await Promise.race([
      group.commands.propose(encodeDocument(change)).then(({ result }) => result),
      timeout,
    ]);
    return applied ? toOutcome(applied) : { outcome: 'unknown' };
  };

  const precheckAndPropose = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const prechecked = history.queries.precheckDocument(change);
    if (prechecked) {
      return toOutcome(prechecked);
    }
    const voters = queries.members().filter(({ kind }) => kind === 'voter').length;
    return voters < minVoters ? notLeader() : propose(change);
  };

  const parseDocument = (text: string): Document | DocumentOutcome => {
    try {
      return readDocument(text);
    } catch (error) {
      if (!(error instanceof Failure)) {
        throw error;
      }
      return { outcome: 'invalid', message: error.message };
    }
  };

  const submit = async (text: string): Promise<DocumentOutcome> => {
    // The leader parses the document; parsing it here as well would only cost time.
    if (!isLeading()) {
      return notLeader();
    }
    const document = parseDocument(text);
    if ('outcome' in document) {
      return document;
    }
    const { number, baseNumber } = document;
    const proposedAtMs = timer.wallClock();
    const change = { changeId: createChangeId(text), text, number, baseNumber, proposedAtMs };
    try {
      return (await runAsLeader(() => precheckAndPropose(change))) ?? notLeader();
    } catch (error) {
      if (!(error instanceof Failure)) {
        throw error;
      }
      if (error.run === 'not_run') {
        return { outcome: 'invalid', message: error.message };
      }
      log.warn('outcome of a document change is unknown', {
        change: change.changeId,
        reason: error.reason,
      });
      return { outcome: 'unknown' };
    }
  };

  const read = async (): Promise<DocumentReadResult> => {
    const result = await runAsLeader(async (): Promise<DocumentReadResult> => {
      const stored = history.queries.head();
      return stored ? { outcome: 'read', text: stored.targets } : { outcome: 'none' };
    });
    return result ?? notLeader();
  };

  return { commands: { submit }, queries: { read } };
};
