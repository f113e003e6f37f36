/**
 * What all long-running programs do: stop gracefully on SIGTERM or SIGINT, at once on a second
 * signal or after a time limit, and go on after SIGHUP, which would end the process by default. The
 * signals are taken from the beginning, since a start may take seconds.
 */
import type { Log } from '../utils/log.js';
import { describeFailure, programExitCodes } from './startFailure.js';

/** Lines of the log need some turns of the loop before the process ends, in ms. */
const logFlushMs = 20;

export interface ProgramOptions {
  readonly log: Log;
  /** A graceful stop that takes longer is cut off, in ms. */
  readonly stopLimitMs: number;
  /** Resolves with what stops the program once it runs. */
  start(): Promise<{ stop(): Promise<void> }>;
  /** Called on SIGHUP. */
  reload?(): void;
}

/** Ends the process once its last log lines are written. */
export const exitAfterLogFlush = (code: number): void => {
  // Open connections would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  setTimeout(() => process.exit(code), logFlushMs);
};

/** Starts a program and connects it to the signals of its process. */
export const runProgram = async ({
  log,
  stopLimitMs,
  start,
  reload,
}: ProgramOptions): Promise<void> => {
  let isStopping = false;
  // A program that is stopped while it starts has taken no work yet.
  let stop = async (): Promise<void> => undefined;
  const onSignal = (signal: NodeJS.Signals) => {
    if (isStopping) {
      log.warn('second signal, ending at once', { signal });
      exitAfterLogFlush(programExitCodes.failed);
      return;
    }
    isStopping = true;
    log.info('stopping', { signal });
    setTimeout(() => {
      log.error('the time limit of the stop has passed', { limitMs: stopLimitMs });
      exitAfterLogFlush(programExitCodes.failed);
    }, stopLimitMs).unref();
    stop().then(
      () => {
        log.info('stopped');
        exitAfterLogFlush(0);
      },
      (error: unknown) => {
        log.error('stop failed', { error: describeFailure(error) });
        exitAfterLogFlush(programExitCodes.failed);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', () => {
    log.info('reloading', { signal: 'SIGHUP' });
    reload?.();
  });
  ({ stop } = await start());
};
