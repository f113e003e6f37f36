/**
 * Waits for a condition instead of a fixed time, with a generous limit.
 */
export interface WaitOptions {
  readonly limitMs?: number;
  readonly everyMs?: number;
  /** What is waited for, for the error message. */
  readonly what?: string;
}

/** Resolves with the first truthy value of `condition`. An error in it counts as not yet. */
export const waitFor = async <Value>(
  condition: () => Value | Promise<Value>,
  { limitMs = 20_000, everyMs = 20, what = 'the condition' }: WaitOptions = {},
): Promise<NonNullable<Value>> => {
  const until = performance.now() + limitMs;
  let lastError: unknown;
  while (performance.now() < until) {
    try {
      const value = await condition();
      if (value) {
        return value;
      }
      lastError = undefined;
    } catch (error) {
      lastError = error;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, everyMs);
    });
  }
  throw new Error(`${what} did not happen within ${limitMs} ms`, { cause: lastError });
};
