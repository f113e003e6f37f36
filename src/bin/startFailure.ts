/**
 * Error output and exit codes, shared by all programs, for a process that cannot start or run.
 */
import { Failure } from '../utils/failure.js';

export const programExitCodes = {
  /** The program cannot run, or its disk failed. */
  failed: 1,
  /** Bad arguments or settings. */
  badInput: 2,
} as const;

/** Formats a Failure as its code and message, and any other error with its stack trace. */
export const describeFailure = (error: unknown): string => {
  if (error instanceof Failure) {
    return `${error.code} ${error.message}`;
  }
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
};

/** Prints the failure and exits immediately, even if parts of the program are running. */
export const exitOnStartFailure = (error: unknown): never => {
  const isBadInput = error instanceof Failure && error.reason === 'invalid_settings';
  process.stderr.write(`${describeFailure(error)}\n`);
  // eslint-disable-next-line n/no-process-exit
  return process.exit(isBadInput ? programExitCodes.badInput : programExitCodes.failed);
};
