/**
 * Polls for a condition instead of waiting for a fixed time.
 */
export interface WaitOptions {
  readonly limitMs?: number;
  readonly everyMs?: number;
  /** Description of the condition for the error message. */
  readonly what?: string;
}

/** Resolves with the first truthy value of `condition`. Errors in it count as falsy. */
export const waitFor = async <Value>(
  condition: () => Value | Promise<Value>,
  { limitMs = 20_000, everyMs = 20, what = 'the condition' }: WaitOptions = {},
): Promise<NonNullable<Value>> => {
  const deadline = performance.now() + limitMs;
  let lastError: unknown;
  while (performance.now() < deadline) {
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
