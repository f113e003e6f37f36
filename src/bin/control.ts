/**
 * `auburnsill-control --settings FILE [--bootstrap]`: runs one control instance.
 *
 * Exit codes: 0 after a graceful stop, 1 if the instance cannot run or its disk failed, 2 for bad
 * arguments or settings.
 */
import { parseArgs } from 'node:util';
import { readControlSettings } from '../plugins/controlSettings.js';
import { Failure } from '../utils/failure.js';
import { createLog, type Log } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { startControlInstance } from './controlInstance.js';

const usage = 'usage: auburnsill-control --settings FILE [--bootstrap]';
const exitCodes = { failed: 1, badInput: 2 } as const;
/** A graceful stop that takes longer is cut off. */
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

const describe = (error: unknown): string => {
  if (error instanceof Failure) {
    return `${error.code} ${error.message}`;
  }
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
};

const exit = (code: number): never => {
  // Ends the process at once: after a disk failure nothing may be sent any more.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
};

const fail = (code: number, text: string): never => {
  process.stderr.write(`${text}\n`);
  return exit(code);
};

const failStart = (error: unknown): never => {
  const isInput = error instanceof Failure && error.reason === 'invalid_settings';
  return fail(isInput ? exitCodes.badInput : exitCodes.failed, describe(error));
};

const stopOnSignals = (log: Log, stop: () => Promise<void>) => {
  let isStopping = false;
  const onSignal = (signal: NodeJS.Signals) => {
    if (isStopping) {
      log.warn('second signal, ending at once', { signal });
      exit(exitCodes.failed);
    }
    isStopping = true;
    log.info('stopping', { signal });
    setTimeout(() => exit(exitCodes.failed), stopLimitMs).unref();
    stop()
      .then(() => exit(0))
      .catch((error: unknown) => fail(exitCodes.failed, describe(error)));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
};

const main = async () => {
  const given = readArguments() ?? fail(exitCodes.badInput, usage);
  const settings = readControlSettings(given.settings);
  const log = createLog(settings.control.name, settings.logLevel);
  const instance = await startControlInstance({
    settings,
    bootstrap: given.bootstrap,
    timer: createTimer(),
    log: log.part('control'),
    random: Math.random,
    onFatal: (error) => fail(exitCodes.failed, describe(error)),
  });
  stopOnSignals(log.part('control'), instance.stop);
};

main().catch(failStart);
