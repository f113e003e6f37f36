/**
 * Chooses among the targets of a redirect. A parent does not know at once that a child is frozen,
 * and a frozen process still accepts connections, so that each one that is tried costs a time limit.
 * All targets are therefore asked at the same time, and the first that answers is tried.
 */
import { isFresh } from '../../core/distribution/parentHealth.js';
import type { Timer } from '../../utils/timer.js';
import type { ProbeResult } from './feedClient.js';
import { readHeartbeat } from './feedMessages.js';

/** A target that has not answered by then is too slow to be a parent. */
const answerLimitMs = 400;

export interface RedirectTargetsOptions {
  readonly timer: Timer;
  /** Ends the wait for answers. */
  readonly stopping: AbortSignal;
  probe(address: string): Promise<ProbeResult | undefined>;
}

export interface RedirectTargets {
  /** Resolves with the targets to try, the best one first. Empty if none answers in time. */
  choose(addresses: readonly string[]): Promise<readonly string[]>;
}

export const createRedirectTargets = ({
  timer,
  stopping,
  probe,
}: RedirectTargetsOptions): RedirectTargets => ({
  choose: async (addresses) => {
    if (addresses.length < 2) {
      return addresses;
    }
    const answered: string[] = [];
    const askFresh = async (address: string) => {
      const result = await probe(address);
      if (result) {
        answered.push(address);
      }
      if (!result || !isFresh(readHeartbeat(result.heartbeat))) {
        throw new Error(`${address} is no parent for now`);
      }
      return address;
    };
    const firstFresh = Promise.any(addresses.map(askFresh)).catch(() => undefined);
    const first = await Promise.race([firstFresh, timer.sleep(answerLimitMs, stopping)]);
    return first === undefined
      ? [...answered]
      : [first, ...addresses.filter((address) => address !== first)];
  },
});
