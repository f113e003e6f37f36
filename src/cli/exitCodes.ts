/**
 * Exit codes of the command line, in one table. Scripts may rely on them.
 */
export const exitCodes = {
  /** Done, or the answer is complete. */
  ok: 0,
  /** A fault of the command line itself. */
  internal: 1,
  /** Wrong arguments, or settings of the command line that cannot be read. */
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
  /** Accepted, and not in force on every proxy yet. */
  incomplete: 8,
} as const;

export type ExitReason = keyof typeof exitCodes;

/** An expected end of a command other than success. */
export class CommandFailure extends Error {
  readonly reason: ExitReason;

  constructor(reason: ExitReason, message: string, options?: { cause?: unknown }) {
    super(message, options);
    this.name = 'CommandFailure';
    this.reason = reason;
  }
}
