/**
 * End of a program that cannot start, with the same exit codes for all programs.
 */
import { Failure } from '../utils/failure.js';

export const programExitCodes = {
  /** The program cannot run, or its disk failed. */
  failed: 1,
  /** Bad arguments or settings. */
  badInput: 2,
} as const;

/** Code and message of a failure; a fault of the program itself keeps its stack. */
export const describeFailure = (error: unknown): string => {
  if (error instanceof Failure) {
    return `${error.code} ${error.message}`;
  }
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
};

/** Prints the failure and ends the process at once, whatever was started before it. */
export const exitOnStartFailure = (error: unknown): never => {
  const isInput = error instanceof Failure && error.reason === 'invalid_settings';
  process.stderr.write(`${describeFailure(error)}\n`);
  // eslint-disable-next-line n/no-process-exit
  return process.exit(isInput ? programExitCodes.badInput : programExitCodes.failed);
};
