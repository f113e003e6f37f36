/**
 * Calls that run at most once. The key is claimed in the ledger before the first attempt, and the
 * answer is recorded for resends. The claim is released only if no attempt can have run. A call that
 * may have run goes on without its caller, so that its outcome is recorded.
 */
import { createHash } from 'node:crypto';
import type { AttemptFailureReport } from '../../types/calls.js';
import type { ClaimOutcome, LedgerAnswer, LedgerClient } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { toFailureReport } from './callResponses.js';
import { filterResponseHeaders } from './callHeaders.js';
import type { CallOutcomeListener, CallPlan, CallRunner, RunningCall } from './callRunner.js';

/** Largest body of an answer that the ledger keeps, in bytes. */
const maxRecordedBytes = 64 * 1_024;
const maxClaimMs = 5_000;
/** Times that the recording of an outcome or of a release is tried. */
const recordTries = 5;
const recordDelayMs = 200;
/** Longest time in ms for which a refusal waits for the release of its key: that of an election. */
const releaseWaitMs = 2_000;

export interface KeyedCall {
  readonly plan: CallPlan;
  readonly key: string;
  /** First bytes of the body, all of it if it is small. */
  readonly bodyPrefix: Buffer;
}

export interface AtMostOnceRunner {
  run(call: KeyedCall, listener: CallOutcomeListener): RunningCall;
  /** Resolves once every outcome that is being recorded is recorded or given up. */
  settled(): Promise<void>;
}

export interface AtMostOnceRunnerOptions {
  readonly runner: CallRunner;
  readonly ledger: LedgerClient;
  readonly timer: Timer;
  readonly log: Log;
}

/** SHA-256 of method, path and body, which binds a key to one request. */
const fingerprintOf = ({ plan, bodyPrefix: prefix }: KeyedCall): Uint8Array => {
  const hash = createHash('sha256').update(`${plan.method}\0${plan.path}\0`);
  return hash.update(prefix).digest();
};

const toRecord = (headers: readonly string[]): Record<string, string> => {
  const record: Record<string, string> = {};
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!;
    const value = headers[index + 1]!;
    record[name] = record[name] === undefined ? value : `${record[name]}, ${value}`;
  }
  return record;
};

/** Answers with what was recorded. A body that was not kept cannot be answered with in part. */
const replay = (
  { status, headers, body, bodyOmitted }: LedgerAnswer,
  listener: CallOutcomeListener,
) => {
  if (bodyOmitted) {
    const detail = `the call ran and was answered with status ${status}; its body was too large to keep`;
    listener.onRefusal({ reason: 'key_in_progress', run: 'may_have_run', detail, retried: false });
    return;
  }
  const { 'content-length': announced, ...kept } = headers;
  const recorded = Object.entries(kept).flat();
  if (announced !== undefined || body.length > 0) {
    recorded.push('content-length', String(body.length));
  }
  listener.onHead({ status, headers: recorded, isReplayed: true });
  if (body.length > 0) {
    listener.onData(Buffer.from(body));
  }
  listener.onEnd();
};

const unavailable = (): Failure => new Failure('ledger_unavailable');

const refusalByOutcome: Record<
  Exclude<ClaimOutcome['outcome'], 'granted' | 'completed'>,
  () => AttemptFailureReport
> = {
  in_progress: () => toFailureReport(new Failure('key_in_progress')),
  mismatch: () => toFailureReport(new Failure('key_mismatch')),
};

/** Creates the runner of calls that run at most once. */
export const createAtMostOnceRunner = ({
  runner,
  ledger,
  timer,
  log,
}: AtMostOnceRunnerOptions): AtMostOnceRunner => {
  const recordings = new Set<Promise<void>>();

  const record = (what: string, requestId: string, step: () => Promise<void>) => {
    const recordWithTries = async () => {
      for (let tries = 1; tries <= recordTries; tries += 1) {
        try {
          await step();
          return;
        } catch (error) {
          const message = error instanceof Error ? error.message : String(error);
          log.warn(`${what} failed`, { requestId, tries, message });
          await timer.sleep(recordDelayMs * tries);
        }
      }
    };
    const recording = recordWithTries().finally(() => recordings.delete(recording));
    recordings.add(recording);
    return recording;
  };

  const run: AtMostOnceRunner['run'] = (call, listener) => {
    const { plan, key } = call;
    const { requestId } = plan;
    const { service } = plan.policy;
    const attemptId = runner.nextAttemptId();
    let running: RunningCall | undefined;
    let isAbandoned = false;
    let isClaimed = false;

    const release = () =>
      record('release of a key', requestId, () => ledger.release({ service, key, attemptId }));

    /** Tells the caller to try again only once its key is free: it would meet its own claim. */
    const refuseReleased = (failure: AttemptFailureReport) => {
      const limitMs = Math.min(releaseWaitMs, Math.max(0, plan.deadlineAt - timer.now()));
      Promise.race([release(), timer.sleep(limitMs)])
        .then(() => {
          if (!isAbandoned) {
            listener.onRefusal(failure);
          }
        })
        .catch((error: unknown) =>
          log.error('refusal failed', { requestId, error: String(error) }),
        );
    };

    const recordingListener = (): CallOutcomeListener => {
      const parts: Buffer[] = [];
      let bytes = 0;
      let status = 0;
      let headers: Record<string, string> = {};
      return {
        onHead: (head) => {
          status = head.status;
          headers = toRecord(filterResponseHeaders(head.headers));
          if (!isAbandoned) {
            listener.onHead(head);
          }
        },
        onData: (chunk) => {
          bytes += chunk.length;
          if (bytes <= maxRecordedBytes) {
            parts.push(chunk);
          }
          return isAbandoned || listener.onData(chunk);
        },
        onEnd: () => {
          const bodyOmitted = bytes > maxRecordedBytes;
          const body = bodyOmitted ? new Uint8Array() : Buffer.concat(parts);
          const answer: LedgerAnswer = { status, headers, body, bodyOmitted };
          record('record of an answer', requestId, () =>
            ledger.complete({ service, key, attemptId, answer }),
          );
          if (!isAbandoned) {
            listener.onEnd();
          }
        },
        onRefusal: (failure) => {
          if (failure.run === 'not_run') {
            refuseReleased(failure);
          } else if (!isAbandoned) {
            listener.onRefusal(failure);
          }
        },
      };
    };

    const start = async () => {
      const timeoutMs = Math.min(maxClaimMs, plan.deadlineAt - timer.now());
      const fingerprint = fingerprintOf(call);
      let claim: ClaimOutcome;
      try {
        claim = await ledger.claim({ service, key, attemptId, fingerprint, timeoutMs });
      } catch (error) {
        // The claim may have been recorded although its answer was lost.
        refuseReleased(toFailureReport(error instanceof Failure ? error : unavailable()));
        return;
      }
      if (claim.outcome === 'granted') {
        isClaimed = true;
        if (isAbandoned) {
          release();
          return;
        }
        running = runner.run(plan, recordingListener(), attemptId);
        return;
      }
      if (isAbandoned) {
        return;
      }
      if (claim.outcome === 'completed') {
        replay(claim.answer, listener);
        return;
      }
      listener.onRefusal(refusalByOutcome[claim.outcome]());
    };

    start().catch((error: unknown) => {
      if (!isAbandoned) {
        listener.onRefusal(toFailureReport(error instanceof Failure ? error : unavailable()));
      }
    });

    return {
      abort: () => {
        isAbandoned = true;
        if (!running || running.mayHaveRun()) {
          // What may have run goes on, so that its outcome is recorded.
          running?.resume();
          return;
        }
        running.abort();
        if (isClaimed) {
          release();
        }
      },
      resume: () => running?.resume(),
      mayHaveRun: () => running?.mayHaveRun() ?? false,
    };
  };

  return {
    run,
    settled: async () => {
      while (recordings.size > 0) {
        await Promise.all(recordings);
      }
    },
  };
};
