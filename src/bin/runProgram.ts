/**
 * Signal handling of all long-running programs: SIGTERM or SIGINT stops gracefully; a second signal
 * or a time limit stops immediately. SIGHUP, which ends a process by default, only triggers a
 * reload. The handlers are installed before the start, which may take seconds.
 */
import type { Log } from '../utils/log.js';
import { describeFailure, programExitCodes } from './startFailure.js';

/** Time for the event loop to flush pending log lines before the process exits, in ms. */
const logFlushMs = 20;

export interface ProgramOptions {
  readonly log: Log;
  /** A graceful stop that takes longer than this is aborted, in ms. */
  readonly stopLimitMs: number;
  /** Starts the program. Resolves with its stop function once it is running. */
  start(): Promise<{ stop(): Promise<void> }>;
  /** Called on SIGHUP. */
  reload?(): void;
}

/** Exits the process after its last log lines are written. */
export const exitAfterLogFlush = (code: number): void => {
  // An explicit exit is needed, since open connections would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  setTimeout(() => process.exit(code), logFlushMs);
};

/** Starts a program and installs its signal handlers. */
export const runProgram = async ({
  log,
  stopLimitMs,
  start,
  reload,
}: ProgramOptions): Promise<void> => {
  let isStopping = false;
  // Until the start completes there is no work to finish, so the initial stop does nothing.
  let stop = async (): Promise<void> => undefined;
  const onSignal = (signal: NodeJS.Signals) => {
    if (isStopping) {
      log.warn('second signal received, exiting immediately', { signal });
      exitAfterLogFlush(programExitCodes.failed);
      return;
    }
    isStopping = true;
    log.info('stopping', { signal });
    setTimeout(() => {
      log.error('graceful stop exceeded its time limit, exiting', { limitMs: stopLimitMs });
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
