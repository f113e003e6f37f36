/** Logs each change of a rollout that comes into force at this node, one line per change. */
import { countRolloutEndpoints, isVersionBarred } from '../../core/rollouts/versionRouting.js';
import type { ActiveConfiguration } from '../../types/internal.js';
import type { Rollout } from '../../types/rollouts.js';
import type { Log } from '../../utils/log.js';
import type { UpstreamDescription } from './localUpstream.js';

const describeState = ({ targetVersion, state, stage, startedAtMs }: Rollout): string =>
  JSON.stringify([targetVersion, state, stage, startedAtMs]);

/** Returns a listener for the configurations that come into force. */
export const createRolloutLog = (
  log: Log,
  upstream: () => UpstreamDescription | undefined,
): ((active: ActiveConfiguration) => void) => {
  let logged = new Map<string, string>();

  const logChange = (rollout: Rollout, { clusters }: ActiveConfiguration) => {
    const { name: service, targetVersion, state, stage } = rollout;
    const cluster = clusters.get(service);
    const { service: ownService, version } = upstream() ?? {};
    log.info('rollout in force', {
      service,
      target_version: targetVersion,
      state,
      stage,
      ...(cluster && countRolloutEndpoints(cluster, rollout)),
      ...(ownService === service && {
        own_version: version,
        own_barred: isVersionBarred(rollout, version),
      }),
    });
  };

  return (active) => {
    const rollouts = Object.values(active.configuration.rollouts ?? {});
    rollouts
      .filter((rollout) => logged.get(rollout.name) !== describeState(rollout))
      .forEach((rollout) => logChange(rollout, active));
    logged = new Map(rollouts.map((rollout) => [rollout.name, describeState(rollout)]));
  };
};
