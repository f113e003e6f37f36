/**
 * Order of the reports about the upstream beside a node. A report of an earlier process, or with a
 * lower number, is superseded: it may have been delayed, and its process may be gone. The start of a
 * process and the number of a report are what their sender says, and a wrong one must not shut out a
 * sound upstream for good. Delays are bounded, so reports that go on for longer than the bound, while
 * the newest process is silent, were sent after its last report: their process lives, and counts.
 */
import type { EndMark } from '../../types/internal.js';
import { compareMarks } from '../agreement/upstreamEnds.js';

/** Number of superseded processes that are followed; a node has one upstream at a time. */
const maxFollowed = 8;

export interface ReportOrderOptions {
  /** Longest delay of a report, in ms. */
  readonly maxDelayMs: number;
  /** Longest time between two reports of a process that lives, in ms. */
  readonly renewWithinMs: number;
}

/** `proven`: the report is superseded by what others said, but its process lives. */
export type ReportVerdict = 'newer' | 'proven' | 'superseded';

export interface JudgeOptions {
  /** A later process under the same id has ended, so this one is over unless its reports go on. */
  readonly isBeforeEnd?: boolean;
}

/**
 * Decides whether a report counts. Times are those of a steady clock: starts and numbers are claims of
 * the sender, and the time of day may jump.
 */
export interface ReportOrder {
  readonly commands: {
    /**
     * Compares a report with the newest one, and follows its process if the report is superseded.
     */
    judge(mark: EndMark, now: number, options?: JudgeOptions): ReportVerdict;
    /** Makes a report, or the end of a process, the newest one. */
    accept(mark: EndMark, now: number): void;
  };
  readonly queries: {
    newest(): EndMark | undefined;
    /** Processes under an id that were heard of: the newest one, and those whose reports are followed. */
    heardProcesses(endpoint: string): readonly EndMark[];
    /** True if the newest process was not heard of within the time for its next report. */
    isSilent(now: number): boolean;
  };
}

interface FollowedProcess {
  /** Its last report. */
  readonly mark: EndMark;
  /** Times of the first and the last of its reports that follow each other. */
  readonly since: number;
  readonly lastAt: number;
}

/** Key of the process that a report or an end is about. */
export const processKey = ({ endpoint, startedAt }: EndMark): string => `${startedAt} ${endpoint}`;

export const isSameProcess = (a: EndMark | undefined, b: EndMark): boolean =>
  a !== undefined && processKey(a) === processKey(b);

export const createReportOrder = ({
  maxDelayMs,
  renewWithinMs,
}: ReportOrderOptions): ReportOrder => {
  let newest: EndMark | undefined;
  let heardAt = -Infinity;
  const followed = new Map<string, FollowedProcess>();
  /** Processes that a proven one has replaced, although they claim a later start. */
  const replaced = new Set<string>();

  const isNewer = (mark: EndMark, isBeforeEnd: boolean): boolean => {
    if (isSameProcess(newest, mark)) {
      return mark.sequence >= newest!.sequence;
    }
    const isLater = newest === undefined || compareMarks(mark, newest) >= 0;
    return isLater && !isBeforeEnd && !replaced.has(processKey(mark));
  };

  /** Returns the time from which on the reports of the process follow each other. */
  const follow = (mark: EndMark, now: number): number => {
    const key = processKey(mark);
    const known = followed.get(key);
    const goesOn = known !== undefined && now - known.lastAt <= renewWithinMs;
    // After a gap it is followed anew, so that a number far ahead does not hold it up for good.
    if (goesOn && mark.sequence <= known.mark.sequence) {
      return now;
    }
    const since = goesOn ? known.since : now;
    // Deleted first, so that the process that was silent for longest is dropped.
    followed.delete(key);
    followed.set(key, { mark, since, lastAt: now });
    if (followed.size > maxFollowed) {
      followed.delete(followed.keys().next().value!);
    }
    return since;
  };

  const judge = (
    mark: EndMark,
    now: number,
    { isBeforeEnd = false }: JudgeOptions = {},
  ): ReportVerdict => {
    if (isNewer(mark, isBeforeEnd)) {
      return 'newer';
    }
    return now - follow(mark, now) > maxDelayMs ? 'proven' : 'superseded';
  };

  const markReplaced = (mark: EndMark) => {
    replaced.delete(processKey(mark));
    if (newest !== undefined && !isSameProcess(newest, mark) && compareMarks(newest, mark) > 0) {
      replaced.add(processKey(newest));
      if (replaced.size > maxFollowed) {
        replaced.delete(replaced.keys().next().value!);
      }
    }
  };

  const accept = (mark: EndMark, now: number) => {
    markReplaced(mark);
    newest = mark;
    heardAt = now;
    followed.clear();
  };

  const heardProcesses = (endpoint: string): readonly EndMark[] => {
    const marks = [...followed.values()].map(({ mark }) => mark);
    return (newest ? [newest, ...marks] : marks).filter((mark) => mark.endpoint === endpoint);
  };

  return {
    commands: { judge, accept },
    queries: {
      newest: () => newest,
      heardProcesses,
      isSilent: (now) => now - heardAt > renewWithinMs,
    },
  };
};
