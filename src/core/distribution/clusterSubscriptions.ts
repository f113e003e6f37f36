/**
 * Clusters that a node subscribes to at its parent, for its own routes and for its children.
 */
import type {
  ClusterCursor,
  ClusterChange,
  ClusterLog,
  ClusterUpdateResult,
} from './clusterLog.js';
import { applyChange, createClusterLog } from './clusterLog.js';

/** A change of the node's subscriptions at its parent. */
export interface SubscriptionChange {
  readonly add: readonly ClusterCursor[];
  readonly remove: readonly string[];
}

export interface ClusterSubscriptions {
  readonly commands: {
    /** Applies an update. An update for a service without a subscription is ignored. */
    receive(change: ClusterChange): ClusterUpdateResult;
    /** Sets the subscribed services. Returns the change, or undefined if there is none. */
    setServices(services: ReadonlySet<string>): SubscriptionChange | undefined;
  };
  readonly queries: {
    /** Log of a service, or undefined if nothing was received for it yet. */
    log(service: string): ClusterLog | undefined;
    cursors(): ClusterCursor[];
  };
}

export const createClusterSubscriptions = (): ClusterSubscriptions => {
  const logs = new Map<string, ClusterLog>();

  const emptyLog = (service: string): ClusterLog => ({
    ...createClusterLog(service, '', true),
    revision: 0,
  });

  const cursorOf = ({ service, registry, revision, settling }: ClusterLog): ClusterCursor => ({
    service,
    registry,
    // A settling registry's endpoints may be incomplete; revision 0 requests a full update.
    revision: settling ? 0 : revision,
  });

  const setServices = (services: ReadonlySet<string>): SubscriptionChange | undefined => {
    const added = [...services].filter((service) => !logs.has(service));
    const remove = [...logs.keys()].filter((service) => !services.has(service));
    if (added.length + remove.length === 0) {
      return undefined;
    }
    remove.forEach((service) => logs.delete(service));
    const add = added.map((service) => {
      const log = emptyLog(service);
      logs.set(service, log);
      return cursorOf(log);
    });
    return { add, remove };
  };

  return {
    commands: {
      receive: (change) => {
        const log = logs.get(change.service);
        return log ? applyChange(log, change) : 'already_held';
      },
      setServices,
    },
    queries: {
      log: (service) => {
        const log = logs.get(service);
        return log && log.revision > 0 ? log : undefined;
      },
      cursors: () => [...logs.values()].map(cursorOf),
    },
  };
};
