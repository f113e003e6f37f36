/**
 * Durations in target files: a number and a unit, such as "250ms", "2s" or "1m".
 */
const unitMs: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };

/** Parses a duration into ms. Returns undefined if the text is not a duration. */
export const parseDuration = (text: string): number | undefined => {
  const match = /^(\d{1,9}(?:\.\d{1,3})?)(ms|s|m|h)$/.exec(text);
  const unit = unitMs[match?.[2] ?? ''];
  return match && unit !== undefined ? Number(match[1]) * unit : undefined;
};

/** Formats ms in the largest unit that gives a whole number. */
export const formatDuration = (ms: number): string => {
  const unit = ['h', 'm', 's'].find((name) => ms > 0 && ms % (unitMs[name] ?? 1) === 0) ?? 'ms';
  return `${ms / (unitMs[unit] ?? 1)}${unit}`;
};
