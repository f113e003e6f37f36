/**
 * A caller as the design asks for: it sends a call again only if the refusal says that it was not
 * run, or if no connection was made. Anything else counts as a cut call.
 */
import { Agent, request } from 'undici';

export interface CallerOptions {
  /** `ip:port` of the nodes that take calls. */
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
  /** Sends one call and resolves when it was answered or has failed. */
  send(call: SentCall): Promise<void>;
  answered(): number;
  /** Refusals that said `not_run`, by reason. */
  refusals(): Readonly<Record<string, number>>;
  /** Calls that were cut, answered for another call or not answered in time. */
  faults(): readonly string[];
  close(): Promise<void>;
}

/** A listener that closes resets connections that it has not accepted yet: nothing was sent. */
const wasNotSent = ({ code, syscall }: NodeJS.ErrnoException): boolean =>
  syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';

const retryPauseMs = 50;

export const createPatientCaller = ({ nodes, limitMs = 30_000 }: CallerOptions): PatientCaller => {
  const agent = new Agent({ connections: 64, pipelining: 1, connectTimeout: 2_000 });
  const refusals: Record<string, number> = {};
  const faults: string[] = [];
  let answered = 0;
  let turn = 0;

  const refuse = (reason: string) => {
    refusals[reason] = (refusals[reason] ?? 0) + 1;
  };

  /** Returns true if the call is over. Throws if it was cut. */
  const tryOnce = async ({ id, path, method, withKey }: SentCall): Promise<boolean> => {
    turn += 1;
    const addresses = nodes();
    const address = addresses[turn % addresses.length];
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        dispatcher: agent,
        headers: { 'x-request-id': id, ...(withKey ? { 'idempotency-key': id } : {}) },
        body: method === 'POST' ? '{}' : undefined,
      });
      const body = (await answer.body.json()) as Record<string, unknown>;
      if (answer.statusCode === 200) {
        if (body.request_id !== id) {
          throw new Error(`the answer belongs to ${String(body.request_id)}`);
        }
        return true;
      }
      if (body.run !== 'not_run') {
        throw new Error(`${answer.statusCode} ${JSON.stringify(body)}`);
      }
      refuse(String(body.reason));
    } catch (error) {
      const cause = error as NodeJS.ErrnoException;
      if (!wasNotSent(cause)) {
        throw new Error(`${method} ${path} through ${address}: ${String(error)}`, { cause: error });
      }
      refuse(`connect ${cause.code}`);
    }
    return false;
  };

  const send: PatientCaller['send'] = async (call) => {
    const until = performance.now() + limitMs;
    try {
      while (performance.now() < until) {
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
