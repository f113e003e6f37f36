/**
 * Quasi-random numbers in [0, 1), one low-discrepancy sequence per key. Successive numbers differ
 * by the fractional part of the golden ratio, modulo 1, so that the shares of weighted services are
 * closer to their weights than with independent random numbers. Each sequence starts at a random
 * position.
 */
const step = (Math.sqrt(5) - 1) / 2;
/** Maximum number of keys kept; a removed key starts again at a random position. */
const maxKeys = 4_096;

/** Creates a function that returns the next number of a key's sequence. */
export const createQuasiRandom = (random: () => number): ((key: string) => number) => {
  const positions = new Map<string, number>();
  return (key) => {
    const next = ((positions.get(key) ?? random()) + step) % 1;
    positions.set(key, next);
    if (positions.size > maxKeys) {
      positions.delete(positions.keys().next().value!);
    }
    return next;
  };
};
