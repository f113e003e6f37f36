/**
 * `auburnsill-control --settings FILE [--bootstrap]`: runs one control instance.
 *
 * Exit codes: 0 after a graceful stop, 1 if the instance cannot run or its disk failed, 2 for bad
 * arguments or settings.
 */
import { parseArgs } from 'node:util';
import { readControlSettings } from '../plugins/operators/controlSettings.js';
import { createLog } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { startControlInstance } from './controlInstance.js';
import { runProgram } from './runProgram.js';
import { describeFailure, exitOnStartFailure, programExitCodes } from './startFailure.js';

const usage = 'usage: auburnsill-control --settings FILE [--bootstrap]';
/** A graceful stop that takes longer than this is aborted. */
const stopLimitMs = 30_000;

const readArguments = (): { settings: string; bootstrap: boolean } | undefined => {
  try {
    const { values } = parseArgs({
      options: { settings: { type: 'string' }, bootstrap: { type: 'boolean', default: false } },
    });
    return values.settings === undefined
      ? undefined
      : { settings: values.settings, bootstrap: values.bootstrap };
  } catch {
    return undefined;
  }
};

const exit = (code: number): never => {
  // Exit immediately: after a disk failure the process must not send anything.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
};

const fail = (code: number, text: string): never => {
  process.stderr.write(`${text}\n`);
  return exit(code);
};

const main = async () => {
  const args = readArguments() ?? fail(programExitCodes.badInput, usage);
  const settings = readControlSettings(args.settings);
  const log = createLog(settings.control.name, settings.logLevel);
  await runProgram({
    log: log.part('control'),
    stopLimitMs,
    start: () =>
      startControlInstance({
        settings,
        bootstrap: args.bootstrap,
        timer: createTimer(),
        log: log.part('control'),
        random: Math.random,
        onFatal: (error) => fail(programExitCodes.failed, describeFailure(error)),
      }),
  });
};

main().catch(exitOnStartFailure);
