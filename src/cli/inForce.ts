/**
 * Progress of a version: where it is in force, according to the status of the control instances.
 */
import { compareVersions } from '../core/agreement/version.js';
import type { DataCentreStatus, StatusResponse } from '../gen/auburnsill/v1/operator_pb.js';
import type { Version } from '../types/public.js';
import type { Timer } from '../utils/timer.js';
import type { OperatorClient } from './operatorClient.js';
import { toVersion, formatWireVersion } from './text.js';

const pollIntervalMs = 100;
/** The leader knows the convergence time only with the next report after the status is complete. */
const convergedGraceMs = 2_000;

export const fetchStatus = (client: OperatorClient): Promise<StatusResponse> =>
  client.request(({ queries }) => queries.status({}), { retryable: true });

/** Whether the data centre is attached and all its nodes serve the current version. */
export const isInForce = ({ attached, nodes, nodesInForce }: DataCentreStatus): boolean =>
  attached && nodesInForce >= nodes;

/** Names of the data centres in which the current version is not confirmed in force. */
export const laggingDataCentres = (status: StatusResponse): string[] =>
  status.dataCentres.filter((dataCentre) => !isInForce(dataCentre)).map(({ name }) => name);

/** Returns one line for each data centre and node that is behind, with the reason. */
export const describeLaggards = (status: StatusResponse): string[] =>
  status.dataCentres.flatMap((dataCentre) => {
    const { name, attached, nodes, nodesInForce, confirmedAgeMs, laggards } = dataCentre;
    if (isInForce(dataCentre)) {
      return [];
    }
    const state = attached ? '' : `, not attached, last confirmed ${confirmedAgeMs} ms ago`;
    return [
      `${name}: in force on ${nodesInForce} of ${nodes}${state}`,
      ...laggards.map(
        (laggard) =>
          `  ${laggard.name} serves ${formatWireVersion(laggard.version)}: ${laggard.reason || 'no reason reported'}`,
      ),
    ];
  });

export interface WaitResult {
  readonly status: StatusResponse;
  readonly complete: boolean;
}

/** Polls until `version` or a newer one is in force everywhere, or the time limit expires. */
export const waitUntilInForce = async (
  client: OperatorClient,
  version: Version,
  {
    timer,
    limitMs,
    onProgress,
  }: {
    timer: Timer;
    limitMs: number;
    onProgress: (status: StatusResponse) => void;
  },
): Promise<WaitResult> => {
  const deadline = timer.now() + limitMs;
  let completeAt: number | undefined;
  for (;;) {
    const status = await fetchStatus(client);
    const isCurrent = compareVersions(toVersion(status.version), version) >= 0;
    if (isCurrent && laggingDataCentres(status).length === 0) {
      completeAt ??= timer.now();
      if (status.convergedMs > 0n || timer.now() - completeAt >= convergedGraceMs) {
        return { status, complete: true };
      }
    }
    onProgress(status);
    if (timer.now() >= deadline) {
      return { status, complete: false };
    }
    await timer.sleep(pollIntervalMs);
  }
};
