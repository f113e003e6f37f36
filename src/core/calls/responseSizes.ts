/**
 * Average response size of each class. Routing uses it to weigh the cost of transfers between data
 * centres against the time in queue.
 */

/** Weight of the newest response in the average. */
const newestWeight = 0.1;
/** Maximum number of classes kept. */
const maxClasses = 4_096;

export interface ResponseSizes {
  readonly commands: { record(className: string, bytes: number): void };
  readonly queries: {
    /** Average size in bytes; 0 before the first response. */
    averageBytes(className: string): number;
  };
}

/** Creates the response size averages of a node. */
export const createResponseSizes = (): ResponseSizes => {
  const averages = new Map<string, number>();
  return {
    commands: {
      record: (className, bytes) => {
        const previous = averages.get(className) ?? bytes;
        averages.set(className, previous + newestWeight * (bytes - previous));
        if (averages.size > maxClasses) {
          averages.delete(averages.keys().next().value!);
        }
      },
    },
    queries: { averageBytes: (className) => averages.get(className) ?? 0 },
  };
};
