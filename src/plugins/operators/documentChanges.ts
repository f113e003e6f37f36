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
import { createLeaderOperations, type NotLeader } from './leaderOperations.js';

export type DocumentOutcome =
  | { readonly outcome: 'accepted' }
  /** The document in force is not the base of this one, or the number of this one is too low. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly message: string }
  | { readonly outcome: 'unknown' }
  | NotLeader;

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
  const leader = createLeaderOperations({ group, timer, log, subject: 'document' });
  const { isLeading, notLeader, run: runAsLeader } = leader.queries;

  const toOutcome = ({ result }: AppliedChange): DocumentOutcome =>
    result.outcome === 'refused' ? { outcome: 'conflict' } : { outcome: 'accepted' };

  const propose = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const applied = await leader.commands.propose(encodeDocument(change));
    return applied ? toOutcome(applied) : { outcome: 'unknown' };
  };

  const precheckAndPropose = async (change: DocumentChange): Promise<DocumentOutcome> => {
    const prechecked = history.queries.precheckDocument(change);
    if (prechecked) {
      return toOutcome(prechecked);
    }
    return leader.queries.voters() < minVoters ? notLeader() : propose(change);
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
