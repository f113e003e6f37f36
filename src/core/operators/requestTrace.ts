/**
 * Joins the log lines of several processes into the life of one request or one change, and names
 * the decision that explains its outcome. Clocks of processes differ and lines may be missing, so
 * the cause follows from what lines say and not from their order alone.
 */

/** One line of a log, with its fields. */
export interface LogEvent {
  readonly timestamp: string;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Trace {
  /** Lines in the order of their timestamps. */
  readonly events: readonly LogEvent[];
  /** Lines that the processes did not write because of their rate limit. */
  readonly droppedLines: number;
  readonly cause: string;
}

/** Separates the id of a request from that of a call that an upstream makes for it. */
const nestedSeparator = '.';

const textField = ({ fields }: LogEvent, name: string): string => {
  const value = fields[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
};

const numberField = ({ fields }: LogEvent, name: string): number => {
  const value = fields[name];
  return typeof value === 'number' ? value : 0;
};

/** Parses a line; text before the JSON object is skipped. Returns undefined for any other line. */
export const parseLogLine = (line: string): LogEvent | undefined => {
  const start = line.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    return undefined;
  }
  const { timestamp, process, message, level, ...fields } = value as Record<string, unknown>;
  const isEvent =
    typeof timestamp === 'string' && typeof process === 'string' && typeof message === 'string';
  return isEvent ? { timestamp, process, message, fields } : undefined;
};

/** True if the line is about the request, or about a call that an upstream made for it. */
export const concernsRequest = (event: LogEvent, requestId: string): boolean => {
  const id = textField(event, 'request_id');
  return (
    id === requestId ||
    id.startsWith(`${requestId}${nestedSeparator}`) ||
    textField(event, 'parent_id') === requestId
  );
};

/** True if the line is about the change with this id, or about the version that it became. */
export const concernsChange = (event: LogEvent, change: string): boolean =>
  [textField(event, 'changeId'), textField(event, 'version')].includes(change) &&
  textField(event, 'request_id') === '';

export const droppedLinesOf = (event: LogEvent): number => numberField(event, 'lines_dropped');

const byTime = (events: readonly LogEvent[]): LogEvent[] =>
  [...events].sort((a, b) => (a.timestamp < b.timestamp ? -1 : Number(a.timestamp > b.timestamp)));

const isAbout = (name: string) => (event: LogEvent) => event.message.endsWith(name);

const describeSlots = (event: LogEvent): string =>
  `${textField(event, 'in_flight')} of ${textField(event, 'limit')} slots in use, ` +
  `${textField(event, 'waiting')} waiting`;

const describeAdmission = (event: LogEvent): string =>
  `${event.process} did not admit it: ${textField(event, 'reason')}, ${describeSlots(event)}, ` +
  `waited ${textField(event, 'waited_ms')} ms of ${textField(event, 'max_wait_ms')} ms`;

const describeDetail = (event: LogEvent): string => {
  const detail = textField(event, 'detail');
  return detail === '' ? '' : ` (${detail})`;
};

const describeAttempt = (event: LogEvent): string =>
  `the attempt at ${textField(event, 'endpoint')} failed: ${textField(event, 'reason')}` +
  `${describeDetail(event)}, ${textField(event, 'run')}, after ${textField(event, 'took_ms')} ms`;

const describeRefusal = (event: LogEvent): string =>
  `refused by ${event.process}: ${textField(event, 'reason')}, ` +
  `${textField(event, 'run')}${describeDetail(event)}`;

/** Explains the end of one call by its own lines. */
const explainCall = (events: readonly LogEvent[]): string | undefined => {
  const last = (name: string) => events.filter(isAbout(name)).at(-1);
  const refusal = last('call refused');
  const answer = last('upstream answered with a failure');
  const admission = last('call not admitted');
  const attempt = last('attempt failed');
  const end = refusal
    ? describeRefusal(refusal)
    : answer && `the upstream answered with status ${textField(answer, 'status')}`;
  const reason = admission ? describeAdmission(admission) : attempt && describeAttempt(attempt);
  return [end, reason].filter((part) => part !== undefined).join('; ') || undefined;
};

const explainRequest = (events: readonly LogEvent[], requestId: string): string => {
  const isOwn = (event: LogEvent) => textField(event, 'request_id') === requestId;
  const own = explainCall(events.filter(isOwn));
  const nestedIds = new Set(
    events
      .filter((event) => !isOwn(event) && isAbout('call refused')(event))
      .map((event) => textField(event, 'request_id')),
  );
  const nested = [...nestedIds].map(
    (id) =>
      `call ${id}: ${explainCall(events.filter((event) => textField(event, 'request_id') === id))}`,
  );
  const found = [own, ...nested].filter((part) => part !== undefined);
  return found.length > 0
    ? found.join('; because of ')
    : 'no line reports a failure: the request was answered, or its lines were dropped';
};

/** Builds the trace of a request from the lines that concern it. */
export const traceRequest = (
  events: readonly LogEvent[],
  requestId: string,
  droppedLines: number,
): Trace => {
  const ordered = byTime(events);
  return { events: ordered, droppedLines, cause: explainRequest(ordered, requestId) };
};

/** Builds the trace of a change from the lines that concern it. */
export const traceChange = (events: readonly LogEvent[], droppedLines: number): Trace => {
  const ordered = byTime(events);
  const decision = ordered.filter(isAbout('change decided')).at(-1);
  const inForce = ordered.filter(isAbout('version in force'));
  const processes = new Set(inForce.map(({ process }) => process)).size;
  const outcome = decision
    ? `${decision.process} decided: ${textField(decision, 'outcome')}`
    : 'no line reports the decision';
  const last = inForce.at(-1);
  const reach = last
    ? `in force on ${processes} ${processes === 1 ? 'process' : 'processes'}, last on ${last.process} at ${last.timestamp}`
    : 'no process reports it in force';
  return { events: ordered, droppedLines, cause: `${outcome}; ${reach}` };
};
