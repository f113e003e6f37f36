/**
 * Changes that operators hand in as documents, and the document in force. Only the leader takes
 * them; any other instance says who leads. A refusal means that nothing was changed; an outcome that
 * is not known is said to be unknown.
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

/** Age of the last confirmation by a quorum above which a leader is probably cut off, in ms. */
const maxConfirmedAgeMs = 600;
/** An operator that has waited this long is told that the outcome is unknown, in ms. */
const outcomeLimitMs = 3_000;

export type DocumentOutcome =
  | { readonly outcome: 'accepted' }
  /** Another document is in force than the one that this builds on, or its number is too low. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly message: string }
  | { readonly outcome: 'unknown' }
  | NotLeader;

/** Another instance has to be asked; `leader` is its peer address if it is known. */
export interface NotLeader {
  readonly outcome: 'not_here';
  readonly leader: string | undefined;
}

export type DocumentReadResult =
  { readonly outcome: 'read'; readonly text: string } | { readonly outcome: 'none' } | NotLeader;

export interface DocumentChanges {
  readonly commands: { submit(text: string): Promise<DocumentOutcome> };
  readonly queries: {
    /** The document in force, confirmed by a quorum after the call. */
    read(): Promise<DocumentReadResult>;
  };
}

export interface DocumentChangesOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly readDocument: DocumentReader;
  /** Voters below which no change is taken, while a new cluster gathers its members. */
  readonly minVoters: number;
  readonly timer: Timer;
  readonly log: Log;
}

const idOf = (text: string): string =>
  `document-${createHash('sha256').update(text).digest('hex')}`;

/** Creates the service for documents of a control instance. */
export const createDocumentChanges = (options: DocumentChangesOptions): DocumentChanges => {
  const { group, history: acceptance, readDocument, minVoters, timer, log } = options;
  const { queries } = group;

  const notHere = (): NotLeader => ({
    outcome: 'not_here',
    leader: queries.role() === 'leader' ? undefined : queries.leader()?.address,
  });

  const isLeading = (): boolean =>
    queries.role() === 'leader' && queries.confirmedAgeMs() <= maxConfirmedAgeMs;

  /** Runs a step of the leader; undefined if this instance turns out not to lead. */
  const asLeader = async <Result>(step: () => Promise<Result>): Promise<Result | undefined> => {
    if (!isLeading()) {
      return undefined;
    }
    try {
      await queries.confirmRead();
      return await step();
    } catch (error) {
      const isNotLeading = error instanceof Failure && error.run === 'not_run';
      if (isNotLeading && error.reason !== 'change_too_large') {
        log.info('document not taken', { reason: error.reason });
        return undefined;
      }
      throw error;
    }
  };

  const outcomeOf = ({ result }: AppliedChange): DocumentOutcome =>
    result.outcome === 'refused' ? { outcome: 'conflict' } : { outcome: 'accepted' };

  const propose = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const limit = timer.sleep(outcomeLimitMs).then(() => undefined);
    const applied = await Promise.race([
      group.commands.propose(encodeDocument(change)).then(({ result }) => result),
      limit,
    ]);
    return applied ? outcomeOf(applied) : { outcome: 'unknown' };
  };

  const decide = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const judged = acceptance.queries.precheckDocument(change);
    if (judged) {
      return outcomeOf(judged);
    }
    const voters = queries.members().filter(({ kind }) => kind === 'voter').length;
    return voters < minVoters ? notHere() : propose(change);
  };

  const readOrRefuse = (text: string): Document | DocumentOutcome => {
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
    // The instance that leads reads the document; reading it here as well would only cost time.
    if (!isLeading()) {
      return notHere();
    }
    const document = readOrRefuse(text);
    if ('outcome' in document) {
      return document;
    }
    const { number, baseNumber } = document;
    const proposedAtMs = timer.wallClock();
    const change = { changeId: idOf(text), text, number, baseNumber, proposedAtMs };
    try {
      return (await asLeader(() => decide(change))) ?? notHere();
    } catch (error) {
      if (!(error instanceof Failure)) {
        throw error;
      }
      if (error.run === 'not_run') {
        return { outcome: 'invalid', message: error.message };
      }
      log.warn('outcome of a document unknown', { change: change.changeId, reason: error.reason });
      return { outcome: 'unknown' };
    }
  };

  const read = async (): Promise<DocumentReadResult> => {
    const reading = await asLeader(async (): Promise<DocumentReadResult> => {
      const stored = acceptance.queries.head();
      return stored ? { outcome: 'read', text: stored.targets } : { outcome: 'none' };
    });
    return reading ?? notHere();
  };

  return { commands: { submit }, queries: { read } };
};
