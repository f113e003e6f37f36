/**
 * Numbers in [0, 1) that are spread evenly over the calls of each key: successive numbers differ by
 * the golden ratio, so that the shares of weighted services come out closer to their weights than
 * with independent random numbers. Each key starts at a random position.
 */
const step = (Math.sqrt(5) - 1) / 2;
/** Keys that are remembered; a forgotten one starts again at a random position. */
const maxKeys = 4_096;

/** Creates a generator for each key. */
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
