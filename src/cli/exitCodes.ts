/**
 * Exit codes of the command line. Scripts may rely on them.
 */
export const exitCodes = {
  /** The command is done, or its answer is complete. */
  ok: 0,
  /** Internal error of the command line. */
  internal: 1,
  /** Wrong arguments, or the settings of the command line cannot be read. */
  usage: 2,
  /** Findings in targets or settings. Nothing was changed. */
  findings: 3,
  /** Refused. Nothing was changed. */
  refused: 4,
  /** The change may have been made; its change id gives the outcome later. */
  unknown: 5,
  /** No control instance or node answered. Nothing was changed. */
  unreachable: 6,
  /** Missing or wrong token. */
  unauthorized: 7,
  /** Accepted, but not in force on every proxy yet. */
  incomplete: 8,
  /** Nothing has the given id. */
  notFound: 9,
} as const;

export type ExitReason = keyof typeof exitCodes;

/** Expected failure of a command, with the reason that determines the exit code. */
export class CommandFailure extends Error {
  readonly reason: ExitReason;

  constructor(reason: ExitReason, message: string, options?: { cause?: unknown }) {
    super(message, options);
    this.name = 'CommandFailure';
    this.reason = reason;
  }
}
