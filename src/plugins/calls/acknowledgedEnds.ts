/**
 * Ends of the upstreams beside this node. An end is stored by the control instances before it is
 * acknowledged. After a restart, the node does not use an upstream older than itself before it has
 * asked for the ends that its earlier process acknowledged: reports that the upstream sent before its
 * end may still arrive.
 */
import { compareMarks } from '../../core/agreement/upstreamEnds.js';
import { processKey } from '../../core/calls/reportOrder.js';
import type { EndMark, UpstreamEndStore } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** Time for which an end is sent to the control instances, in ms. */
const recordLimitMs = 5_000;
/** Longest wait of an acknowledgement, in ms: an upstream waits for it for 1 s. */
const acknowledgementMs = 800;
/** Number of ended upstreams to remember; a node has one upstream at a time. */
const maxMarks = 64;

/** Number of the last report of a process that has ended. */
export const lastSequence = Number.MAX_SAFE_INTEGER;

export interface AcknowledgedEndsOptions {
  readonly store: UpstreamEndStore;
  /** Longest delay of a report, in ms. After it, no report from before the start can arrive. */
  readonly maxReportDelayMs: number;
  readonly timer: Timer;
  readonly log: Log;
}

export interface AcknowledgedEnds {
  readonly commands: {
    /** Asks once for the ends that an earlier process of this node acknowledged. */
    load(): void;
    /**
     * Ignores the reports of the process from now on. Those of earlier ones under the same id are in
     * doubt only: the start that was named may be wrong, or the clock may have been set back since.
     */
    add(mark: EndMark): void;
    /** Stores the mark at the control instances, unless one of the same process is stored. */
    record(mark: EndMark): void;
    /** The upstream is in use again: its next end is stored anew. */
    forgetRecord(endpoint: string): void;
  };
  readonly queries: {
    /** True if the process of the report has ended. */
    hasEnded(report: EndMark): boolean;
    /** True if a later process under the same id has ended. */
    isBeforeEnd(report: EndMark): boolean;
    /** True once the ends from before the start are known, or no report from then can arrive. */
    isLoaded(): boolean;
    /** Resolves once all ends are stored; rejects with `no_quorum` if that takes too long. */
    stored(): Promise<void>;
  };
}

const setBounded = <Value>(map: Map<string, Value>, key: string, value: Value) => {
  map.set(key, value);
  if (map.size > maxMarks) {
    map.delete(map.keys().next().value!);
  }
};

export const createAcknowledgedEnds = (options: AcknowledgedEndsOptions): AcknowledgedEnds => {
  const { store, maxReportDelayMs, timer, log } = options;
  const createdAt = timer.now();
  const marks = new Map<string, EndMark>();
  /** Latest end of each upstream. */
  const latestMarks = new Map<string, EndMark>();
  /** Marks of earlier processes of this node; they count while reports from before can arrive. */
  const loadedMarks = new Map<string, EndMark>();
  const recorded = new Map<string, EndMark>();
  const pending = new Map<string, { readonly mark: EndMark; readonly stored: Promise<void> }>();
  let isLoading = false;
  let hasListed = false;

  const add = (mark: EndMark) => {
    setBounded(marks, processKey(mark), mark);
    const known = latestMarks.get(mark.endpoint);
    if (!known || compareMarks(known, mark) < 0) {
      setBounded(latestMarks, mark.endpoint, mark);
    }
  };

  const isRecorded = (mark: EndMark): boolean => {
    const known = pending.get(mark.endpoint)?.mark ?? recorded.get(mark.endpoint);
    // An upstream that is leaving repeats that with each report.
    const isRepeated = known?.startedAt === mark.startedAt && mark.sequence !== lastSequence;
    return known !== undefined && (isRepeated || compareMarks(known, mark) >= 0);
  };

  const record = (mark: EndMark) => {
    if (isRecorded(mark)) {
      return;
    }
    const { endpoint } = mark;
    const since = timer.now();
    const stored = store
      .record(mark, recordLimitMs)
      .then(() => {
        setBounded(recorded, endpoint, mark);
        log.info('end of an upstream stored', { ...mark, ms: Math.round(timer.now() - since) });
      })
      .finally(() => {
        if (pending.get(endpoint)?.stored === stored) {
          pending.delete(endpoint);
        }
      });
    // The upstream sends its report again if it gets no acknowledgement.
    stored.catch((error: unknown) =>
      log.warn('end of an upstream not stored', { ...mark, error: String(error) }),
    );
    pending.set(endpoint, { mark, stored });
  };

  const load = async () => {
    try {
      const ends = await store.list(maxReportDelayMs);
      ends.forEach((mark) => {
        setBounded(loadedMarks, mark.endpoint, mark);
        setBounded(recorded, mark.endpoint, mark);
      });
      hasListed = true;
      log.info('ends of upstreams loaded', {
        ends: ends.length,
      });
    } catch (error) {
      log.warn('ends of upstreams not loaded', { error: String(error) });
    }
  };

  const isDelayPast = () => timer.now() - createdAt > maxReportDelayMs;

  const isUpTo = (mark: EndMark | undefined, report: EndMark): boolean =>
    mark !== undefined && compareMarks(report, mark) <= 0;

  const stored = async () => {
    if (pending.size === 0) {
      return;
    }
    const limit = timer.sleep(acknowledgementMs).then(() => {
      throw new Failure('no_quorum', 'the end of the upstream is not stored yet');
    });
    await Promise.race([Promise.all([...pending.values()].map((each) => each.stored)), limit]);
  };

  return {
    commands: {
      load: () => {
        if (!isLoading) {
          isLoading = true;
          load();
        }
      },
      add,
      record,
      forgetRecord: (endpoint) => {
        recorded.delete(endpoint);
      },
    },
    queries: {
      hasEnded: (report) =>
        isUpTo(marks.get(processKey(report)), report) ||
        (!isDelayPast() && isUpTo(loadedMarks.get(report.endpoint), report)),
      isBeforeEnd: (report) => isUpTo(latestMarks.get(report.endpoint), report),
      isLoaded: () => hasListed || isDelayPast(),
      stored,
    },
  };
};
