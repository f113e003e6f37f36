/**
 * Fleet of real control instances and nodes under churn: the benchmark announces endpoints for the
 * nodes and changes the configuration. A node logs when a version comes into force. The timestamps
 * of all processes are comparable, since they run on one machine with one clock.
 */
import { createServer, type AddressInfo } from 'node:net';
import {
  startDeployment,
  type ControlInstance,
  type Deployment,
  type MeshNode,
} from '../../__tests__/support/deployment.js';
import {
  createChangeClient,
  fetchReport,
  formatTargets,
} from '../../__tests__/support/deploymentClient.js';
import type { ManagedProcess } from '../../__tests__/support/managedProcess.js';
import { waitFor } from '../../__tests__/support/waitFor.js';
import { cpuTimeMs, residentMb, sumMetric } from './processStats.js';

export const services = ['alpha', 'beta', 'gamma', 'delta', 'epsilon', 'zeta'];
export const dataCentres = ['a', 'b', 'c'];
const renewPeriodMs = 1_000;

/** Accepted change: its version and the time at which it was sent. */
export interface SentChange {
  readonly version: string;
  readonly sentAt: number;
}

export interface FeedLoad {
  readonly deployment: Deployment;
  /** Changes the configuration. */
  change(): Promise<SentChange>;
  /** Changes the slots of some endpoints, which has to reach all subscribers. */
  churn(endpoints: number): void;
  /** Time at which each node had a version in force, by node name. Omits nodes that have not. */
  inForceTimes(version: string): Map<string, number>;
  /** Samples all nodes and the control instances in `sources`. */
  sample(sources?: readonly ControlInstance[]): Promise<FleetSample>;
  stop(): Promise<void>;
}

export interface FleetSample {
  readonly at: number;
  readonly sourceCpuMs: number;
  readonly nodeCpuMs: readonly number[];
  readonly nodeMb: readonly number[];
  readonly sourceBytes: number;
  /** Bytes of all control traffic. Each connection is counted at its server. */
  readonly allBytes: number;
}

const announceEndpoint = (node: MeshNode, index: number, address: string, slots: number) =>
  fetch(`http://${node.admin}/upstream`, {
    method: 'PUT',
    body: JSON.stringify({
      service: services[index % services.length],
      address,
      slots,
      connections: 100,
      state: 'ready',
    }),
  });

const inForcePattern = /"message":"feed: version in force"/;

const findInForceTime = (process: ManagedProcess, version: string): number | undefined => {
  const line = process
    .output()
    .find((each) => inForcePattern.test(each) && each.includes(`"version":"${version}"`));
  const record = line === undefined ? undefined : (JSON.parse(line) as { timestamp: string });
  return record && Date.parse(record.timestamp);
};

/** Returns the first time at which the node had this version or a newer one in force. */
const firstInForceTime = (process: ManagedProcess, version: string): number | undefined => {
  const exact = findInForceTime(process, version);
  if (exact !== undefined) {
    return exact;
  }
  const index = Number(version.split('.')[1]);
  const later = process
    .output()
    .filter((line) => inForcePattern.test(line))
    .map((line) => JSON.parse(line) as { timestamp: string; version: string })
    .filter((record) => Number(record.version.split('.')[1]) > index)
    .map(({ timestamp }) => Date.parse(timestamp));
  return later.length > 0 ? Math.min(...later) : undefined;
};

/** Starts three data centres with one control instance each and `size` nodes in total. */
export const startFeedLoad = async (
  size: number,
  print: (line: string) => void,
  options: { readonly faultProxies?: boolean } = {},
): Promise<FeedLoad> => {
  const upstream = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => {
    upstream.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
  const deployment = await startDeployment({
    name: 'bench',
    dataCentres: dataCentres.map((name) => ({ name, callerNodes: size / dataCentres.length })),
    targets: formatTargets(services),
    ...options,
  });
  const { nodes, controls } = deployment;
  const slots = nodes.map(() => 10);
  const announce = () =>
    nodes.forEach((node, index) => {
      if (node.process.isRunning()) {
        announceEndpoint(node, index, address, slots[index] ?? 10).catch(() => undefined);
      }
    });
  const announcementTimer = setInterval(announce, renewPeriodMs);
  announce();
  print(`${size} nodes are up`);
  const changes = createChangeClient(deployment);
  let changeCount = 0;
  let churnCount = 0;

  const pidsOf = (processes: readonly { process: ManagedProcess }[]): number[] =>
    processes
      .filter(({ process }) => process.isRunning())
      .map(({ process }) => process.pid())
      .filter((pid) => pid !== undefined);

  const fetchPeerBytes = async ({ admin }: { admin: string }): Promise<number> =>
    sumMetric(await (await fetch(`http://${admin}/metrics`)).text(), 'auburnsill_peer_bytes');

  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

  await waitFor(
    async () => {
      const reports = await Promise.all(nodes.map(fetchReport));
      const countReady = (report: (typeof reports)[number]) =>
        sum(Object.values(report.endpoints).map(({ ready }) => ready));
      return reports.every((report) => countReady(report) === size);
    },
    { limitMs: 60_000, everyMs: 500, what: `${size} endpoints on all nodes` },
  );

  return {
    deployment,
    change: async () => {
      changeCount += 1;
      const sentAt = Date.now();
      const version = await changes.apply(formatTargets(services, 1 + (changeCount % 99)));
      return { version, sentAt };
    },
    churn: (endpoints) => {
      for (let count = 0; count < endpoints; count += 1) {
        const index = churnCount % nodes.length;
        churnCount += 1;
        const node = nodes[index];
        slots[index] = 10 + (((slots[index] ?? 10) + 1) % 10);
        if (node?.process.isRunning()) {
          announceEndpoint(node, index, address, slots[index] ?? 10).catch(() => undefined);
        }
      }
    },
    inForceTimes: (version) =>
      new Map(
        nodes
          .map(({ name, process }): [string, number | undefined] => [
            name,
            firstInForceTime(process, version),
          ])
          .filter((entry): entry is [string, number] => entry[1] !== undefined),
      ),
    sample: async (sources = controls) => {
      const controlBytes = await Promise.all(sources.map(fetchPeerBytes));
      const nodeBytes = await Promise.all(
        nodes.map((node) => fetchPeerBytes(node).catch(() => Number.NaN)),
      );
      return {
        at: Date.now(),
        // The control instance with the most CPU time counts as the source.
        sourceCpuMs: Math.max(...pidsOf(sources).map(cpuTimeMs)),
        nodeCpuMs: pidsOf(nodes).map(cpuTimeMs),
        nodeMb: pidsOf(nodes).map(residentMb),
        sourceBytes: Math.max(...controlBytes),
        allBytes: sum(controlBytes) + sum(nodeBytes),
      };
    },
    stop: async () => {
      clearInterval(announcementTimer);
      changes.close();
      upstream.close();
      await deployment.stop();
    },
  };
};
