/**
 * Caller that follows the retry rule for callers: it retries a call only if the refusal says that
 * the call was not run, or if no connection was made. Every other failure counts as a broken call.
 */
import { Agent, request } from 'undici';

export interface CallerOptions {
  /** `ip:port` of the nodes that accept calls. */
  readonly nodes: () => readonly string[];
  readonly limitMs?: number;
}

export interface SentCall {
  readonly id: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly withKey: boolean;
}

export interface PatientCaller {
  /** Sends one call with retries. Resolves once it was answered or has failed. */
  send(call: SentCall): Promise<void>;
  answered(): number;
  /** Number of refusals with `not_run` and of failed connection attempts, by reason. */
  refusals(): Readonly<Record<string, number>>;
  /** Calls that broke, got the response to another call or were not answered in time. */
  faults(): readonly string[];
  close(): Promise<void>;
}

/**
 * Whether the error occurred while connecting, so that no request was sent. A listener that closes
 * resets the connections that it has not accepted yet.
 */
const wasNotSent = ({ code, syscall }: NodeJS.ErrnoException): boolean =>
  syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';

const retryPauseMs = 50;

export const createPatientCaller = ({ nodes, limitMs = 30_000 }: CallerOptions): PatientCaller => {
  const agent = new Agent({ connections: 64, pipelining: 1, connectTimeout: 2_000 });
  const refusals: Record<string, number> = {};
  const faults: string[] = [];
  let answered = 0;
  let attempts = 0;

  const countRefusal = (reason: string) => {
    refusals[reason] = (refusals[reason] ?? 0) + 1;
  };

  /** Returns whether the call is complete. Throws if it broke. */
  const tryOnce = async ({ id, path, method, withKey }: SentCall): Promise<boolean> => {
    attempts += 1;
    const addresses = nodes();
    const address = addresses[attempts % addresses.length];
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        dispatcher: agent,
        headers: { 'x-request-id': id, ...(withKey ? { 'idempotency-key': id } : {}) },
        body: method === 'POST' ? '{}' : undefined,
      });
      const body = (await response.body.json()) as Record<string, unknown>;
      if (response.statusCode === 200) {
        if (body.request_id !== id) {
          throw new Error(`the answer belongs to ${String(body.request_id)}`);
        }
        return true;
      }
      if (body.run !== 'not_run') {
        throw new Error(`${response.statusCode} ${JSON.stringify(body)}`);
      }
      countRefusal(String(body.reason));
    } catch (error) {
      const cause = error as NodeJS.ErrnoException;
      if (!wasNotSent(cause)) {
        throw new Error(`${method} ${path} through ${address}: ${String(error)}`, { cause: error });
      }
      countRefusal(`connect ${cause.code}`);
    }
    return false;
  };

  const send: PatientCaller['send'] = async (call) => {
    const deadline = performance.now() + limitMs;
    try {
      while (performance.now() < deadline) {
        if (await tryOnce(call)) {
          answered += 1;
          return;
        }
        await new Promise((resolve) => {
          setTimeout(resolve, retryPauseMs);
        });
      }
      faults.push(`${call.id}: no answer within ${limitMs} ms`);
    } catch (error) {
      faults.push(`${call.id} at ${new Date().toISOString()}: ${String(error)}`);
    }
  };

  return {
    send,
    answered: () => answered,
    refusals: () => refusals,
    faults: () => faults,
    close: () => agent.close(),
  };
};
