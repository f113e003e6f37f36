/**
 * Usual size of the answers of each class, for the weighing of distance against waiting.
 */

/** Weight of the newest answer in the average. */
const newestWeight = 0.1;
/** Classes that are remembered. */
const maxClasses = 4_096;

export interface ResponseSizes {
  readonly commands: { record(className: string, bytes: number): void };
  readonly queries: {
    /** Average size in bytes; 0 before the first answer. */
    averageBytes(className: string): number;
  };
}

/** Creates the averages of a node. */
export const createResponseSizes = (): ResponseSizes => {
  const averages = new Map<string, number>();
  return {
    commands: {
      record: (className, bytes) => {
        const before = averages.get(className) ?? bytes;
        averages.set(className, before + newestWeight * (bytes - before));
        if (averages.size > maxClasses) {
          averages.delete(averages.keys().next().value!);
        }
      },
    },
    queries: { averageBytes: (className) => averages.get(className) ?? 0 },
  };
};
