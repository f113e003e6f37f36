/**
 * `auburnsill trace`: reads log files of several processes and prints the life of a request or a
 * change, with the cause of its outcome on the last line.
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { createGunzip } from 'node:zlib';
import { Command, Option } from 'clipanion';
import { BaseCommand } from '../baseCommand.js';
import {
  concernsChange,
  concernsRequest,
  droppedLinesOf,
  parseLogLine,
  traceChange,
  traceRequest,
  type LogEvent,
} from '../../core/operators/requestTrace.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { pluralize } from '../text.js';

const compressedSuffix = '.gz';

interface ReadResult {
  readonly events: LogEvent[];
  droppedLines: number;
  /** Lines that are not log events. */
  skippedLines: number;
}

const openLog = (file: string): NodeJS.ReadableStream => {
  const stream = createReadStream(file);
  if (!file.endsWith(compressedSuffix)) {
    return stream;
  }
  const text = createGunzip();
  stream.on('error', (error) => text.destroy(error)).pipe(text);
  return text;
};

/** Reads a log line by line, so that its size does not matter. */
const readLog = async (
  file: string,
  isWanted: (event: LogEvent) => boolean,
  result: ReadResult,
): Promise<void> => {
  const input = openLog(file);
  const failed = new Promise<never>((_resolve, reject) => {
    input.once('error', (error: Error) => {
      reject(new CommandFailure('usage', `${file}: ${error.message}`, { cause: error }));
    });
  });
  const read = async () => {
    for await (const line of createInterface({ input, crlfDelay: Infinity })) {
      const event = parseLogLine(line);
      if (!event) {
        result.skippedLines += line.trim() === '' ? 0 : 1;
      } else {
        result.droppedLines += droppedLinesOf(event);
        if (isWanted(event)) {
          result.events.push(event);
        }
      }
    }
  };
  await Promise.race([read(), failed]);
};

const formatValue = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value);

const formatEvent = ({ timestamp, process, message, fields }: LogEvent): string => {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [timestamp, process, message, ...details].join('  ');
};

export class TraceCommand extends BaseCommand {
  static override paths = [['trace']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Join log files into the life of a request or a change',
    details: `
      Reads the logs of any number of processes, in any order; files that end in \`.gz\` are
      decompressed. Prints the lines of the request, and of the calls that upstreams made for it, by
      time, and the cause of its outcome on the last line. Lines that are not log lines are counted.
    `,
    examples: [
      ['Explain a failed request', '$0 trace 9c41d07be2a35f68 node-*.log'],
      ['Follow a version to the nodes', '$0 trace --change 3.17 control-*.log node-*.log.gz'],
    ],
  });

  isChange = Option.Boolean('--change', false, {
    description: 'The id is that of a change, or its version',
  });

  id = Option.String({ name: 'ID' });

  files = Option.Rest({ required: 1, name: 'FILE' });

  protected async run(): Promise<number> {
    const concerns = this.isChange ? concernsChange : concernsRequest;
    const result: ReadResult = { events: [], droppedLines: 0, skippedLines: 0 };
    for (const file of this.files) {
      await readLog(file, (event) => concerns(event, this.id), result);
    }
    const { events, droppedLines, skippedLines } = result;
    const trace = this.isChange
      ? traceChange(events, droppedLines)
      : traceRequest(events, this.id, droppedLines);
    const isFound = events.length > 0;
    trace.events.forEach((event) => this.print(formatEvent(event)));
    if (skippedLines > 0) {
      this.print(`${pluralize(skippedLines, 'line')} skipped that no process of auburnsill wrote`);
    }
    if (droppedLines > 0) {
      this.print(`${pluralize(droppedLines, 'line')} not written because of the rate limit`);
    }
    this.print(`cause: ${isFound ? trace.cause : 'no line has this id'}`);
    this.printResult({ ok: isFound, id: this.id, ...trace, skippedLines });
    return isFound ? exitCodes.ok : exitCodes.notFound;
  }
}
