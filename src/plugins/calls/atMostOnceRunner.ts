/**
 * Runs at-most-once calls. The key is claimed in the ledger before the first attempt, and the
 * response is recorded for later calls with the same key. The claim is released only if no attempt
 * can have run. A call that may have run continues after its caller has disconnected, so that its
 * outcome is recorded.
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

/** Largest response body that is recorded in the ledger, in bytes. */
const maxRecordedBytes = 64 * 1_024;
const maxClaimTimeoutMs = 5_000;
/** Maximum number of tries to record an outcome or to release a key. */
const maxRecordTries = 5;
const recordRetryDelayMs = 200;
/** Longest time in ms for which a refusal waits for the release of its key: that of an election. */
const maxReleaseWaitMs = 2_000;

export interface KeyedCall {
  readonly plan: CallPlan;
  readonly key: string;
  /** First bytes of the body; the whole body if it is small. */
  readonly bodyPrefix: Buffer;
}

export interface AtMostOnceRunner {
  run(call: KeyedCall, listener: CallOutcomeListener): RunningCall;
  /** Resolves once each pending write to the ledger has succeeded or was given up. */
  settled(): Promise<void>;
}

export interface AtMostOnceRunnerOptions {
  readonly runner: CallRunner;
  readonly ledger: LedgerClient;
  readonly timer: Timer;
  readonly log: Log;
}

/**
 * SHA-256 of method, path and the first bytes of the body, which binds a key to one request. With
 * the tenant in it, no tenant gets the recorded response to a request of another one.
 */
const computeFingerprint = ({ plan, bodyPrefix }: KeyedCall): Uint8Array => {
  const owner = plan.keyOwner === undefined ? '' : `${plan.keyOwner} `;
  const hash = createHash('sha256').update(`${owner}${plan.method}\0${plan.path}\0`);
  return hash.update(bodyPrefix).digest();
};

const toHeaderRecord = (headers: readonly string[]): Record<string, string> => {
  const record: Record<string, string> = {};
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!;
    const value = headers[index + 1]!;
    record[name] = record[name] === undefined ? value : `${record[name]}, ${value}`;
  }
  return record;
};

/** Replays a recorded response. Refuses the call if the body was omitted from the record. */
const replayResponse = (
  { status, headers, body, bodyOmitted }: LedgerAnswer,
  listener: CallOutcomeListener,
) => {
  if (bodyOmitted) {
    const detail = `the call ended with status ${status}; its response was too large to record`;
    listener.onRefusal({ reason: 'key_in_progress', run: 'may_have_run', detail, retried: false });
    return;
  }
  const { 'content-length': contentLength, ...otherHeaders } = headers;
  const recorded = Object.entries(otherHeaders).flat();
  if (contentLength !== undefined || body.length > 0) {
    recorded.push('content-length', String(body.length));
  }
  listener.onHead({ status, headers: recorded, isReplayed: true });
  if (body.length > 0) {
    listener.onData(Buffer.from(body));
  }
  listener.onEnd();
};

const ledgerUnavailable = (): Failure => new Failure('ledger_unavailable');

const refusalByOutcome: Record<
  Exclude<ClaimOutcome['outcome'], 'granted' | 'completed'>,
  () => AttemptFailureReport
> = {
  in_progress: () => toFailureReport(new Failure('key_in_progress')),
  mismatch: () => toFailureReport(new Failure('key_mismatch')),
};

export const createAtMostOnceRunner = ({
  runner,
  ledger,
  timer,
  log,
}: AtMostOnceRunnerOptions): AtMostOnceRunner => {
  const recordings = new Set<Promise<void>>();

  const recordWithRetries = (label: string, requestId: string, operation: () => Promise<void>) => {
    const runWithRetries = async () => {
      for (let tries = 1; tries <= maxRecordTries; tries += 1) {
        try {
          await operation();
          return;
        } catch (error) {
          const message = error instanceof Error ? error.message : String(error);
          log.warn(`${label} failed`, { requestId, tries, message });
          await timer.sleep(recordRetryDelayMs * tries);
        }
      }
    };
    const recording = runWithRetries().finally(() => recordings.delete(recording));
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
      recordWithRetries('release of an idempotency key', requestId, () =>
        ledger.release({ service, key, attemptId }),
      );

    /**
     * Refuses the call only once its key is released: otherwise the caller's retry could find its
     * own claim.
     */
    const refuseAfterRelease = (failure: AttemptFailureReport) => {
      const limitMs = Math.min(maxReleaseWaitMs, Math.max(0, plan.deadlineAt - timer.now()));
      Promise.race([release(), timer.sleep(limitMs)])
        .then(() => {
          if (!isAbandoned) {
            listener.onRefusal(failure);
          }
        })
        .catch((error: unknown) =>
          log.error('sending a refusal failed', { requestId, error: String(error) }),
        );
    };

    const createRecordingListener = (): CallOutcomeListener => {
      const parts: Buffer[] = [];
      let bytes = 0;
      let status = 0;
      let headers: Record<string, string> = {};
      return {
        onHead: (head) => {
          status = head.status;
          headers = toHeaderRecord(filterResponseHeaders(head.headers));
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
          recordWithRetries('recording of a response', requestId, () =>
            ledger.complete({ service, key, attemptId, answer }),
          );
          if (!isAbandoned) {
            listener.onEnd();
          }
        },
        onRefusal: (failure) => {
          if (failure.run === 'not_run') {
            refuseAfterRelease(failure);
          } else if (!isAbandoned) {
            listener.onRefusal(failure);
          }
        },
      };
    };

    const start = async () => {
      const timeoutMs = Math.min(maxClaimTimeoutMs, plan.deadlineAt - timer.now());
      const fingerprint = computeFingerprint(call);
      let claim: ClaimOutcome;
      try {
        claim = await ledger.claim({ service, key, attemptId, fingerprint, timeoutMs });
      } catch (error) {
        // The claim may have been recorded although its response was lost.
        refuseAfterRelease(toFailureReport(error instanceof Failure ? error : ledgerUnavailable()));
        return;
      }
      if (claim.outcome === 'granted') {
        isClaimed = true;
        if (isAbandoned) {
          release();
          return;
        }
        running = runner.run(plan, createRecordingListener(), attemptId);
        return;
      }
      if (isAbandoned) {
        return;
      }
      if (claim.outcome === 'completed') {
        replayResponse(claim.answer, listener);
        return;
      }
      listener.onRefusal(refusalByOutcome[claim.outcome]());
    };

    start().catch((error: unknown) => {
      if (!isAbandoned) {
        listener.onRefusal(toFailureReport(error instanceof Failure ? error : ledgerUnavailable()));
      }
    });

    return {
      abort: () => {
        isAbandoned = true;
        if (!running || running.mayHaveRun()) {
          // A call that may have run continues, so that its outcome is recorded.
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
