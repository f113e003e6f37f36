/**
 * Client of a deployment for tests: applies changes over RPC and polls the reports of the nodes.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { createClient } from '@connectrpc/connect';
import { OperatorCommands } from '../../src/gen/auburnsill/v1/operator_pb.js';
import { createTokenInterceptor } from '../../src/plugins/operators/access.js';
import { createRpcTransport } from '../../src/plugins/rpc.js';
import type { Deployment, MeshNode } from './deployment.js';
import { waitFor } from './waitFor.js';

export interface NodeReport {
  readonly version?: string;
  readonly detached: boolean;
  readonly confirmed_age_ms: number;
  readonly services: readonly string[];
  readonly endpoints: Readonly<Record<string, { ready: number; leaving: number }>>;
}

export const fetchReport = async ({ admin }: MeshNode): Promise<NodeReport> =>
  (await (await fetch(`http://${admin}/report`)).json()) as NodeReport;

/** Formats targets with one class per service. A different importance gives different content. */
export const formatTargets = (services: readonly string[], importance = 50): string =>
  services
    .map(
      (service) => `
[service.${service}]
expected = true
[class.${service}-read]
service = "${service}"
match = [{ method = "GET", path = "/${service}" }]
answer_within = "2s"
share = 0.9
idempotent = true
availability = 0.9
importance = ${importance}
`,
    )
    .join('');

/** Returns the index of a version in text form, or 0 without a version. */
export const parseVersionIndex = (version: string | undefined): number =>
  Number(version?.split('.')[1] ?? 0);

export interface ChangeClient {
  /** Applies targets and returns the version, as `term.index`. */
  apply(targets: string, allowDetached?: readonly string[]): Promise<string>;
  close(): void;
}

/** Applies changes over RPC, which is faster than a command-line process for each change. */
export const createChangeClient = (
  deployment: Pick<Deployment, 'controls' | 'operatorTokenFile'>,
): ChangeClient => {
  const token = readFileSync(deployment.operatorTokenFile, 'utf8').trim();
  const clients = deployment.controls.map(({ peer }) => {
    const { transport, close } = createRpcTransport(peer, [createTokenInterceptor(token)]);
    return { peer, client: createClient(OperatorCommands, transport), close };
  });
  let base: { term: bigint; index: bigint } | undefined;
  let leader = clients[0];

  const applyOnce = async (
    targets: string,
    allowDetached: readonly string[],
  ): Promise<string | undefined> => {
    const request = {
      changeId: randomUUID(),
      baseVersion: base,
      targets,
      fileName: 'test.toml',
      allowDetached: [...allowDetached],
    };
    const response = await leader?.client.apply(request).catch((error: unknown) => {
      // An unreachable control instance cannot name the leader, so the next one is tried.
      leader = clients[(clients.indexOf(leader!) + 1) % clients.length];
      throw error;
    });
    if (response?.outcome === 'not_leader') {
      leader = clients.find(({ peer }) => peer === response.leaderAddress) ?? leader;
      return undefined;
    }
    // Another change was accepted first, so this one is retried on top of it.
    const isConflict = response?.version !== undefined && response.version.index !== base?.index;
    if (response?.outcome === 'refused' && isConflict) {
      base = response.version;
      return undefined;
    }
    if (response?.outcome !== 'accepted' || !response.version) {
      const findings = response?.findings.map(({ place, message }) => `${place}: ${message}`) ?? [];
      throw new Error(`${response?.outcome}: ${findings.join('; ')}`);
    }
    base = response.version;
    return `${base.term}.${base.index}`;
  };

  return {
    apply: (targets, allowDetached = []) =>
      waitFor(() => applyOnce(targets, allowDetached), {
        limitMs: 20_000,
        what: 'acceptance of a change',
      }),
    close: () => clients.forEach(({ close }) => close()),
  };
};

/** Waits until all nodes have this version or a newer one in force. */
export const waitForVersion = (
  nodes: readonly MeshNode[],
  version: string,
  limitMs = 30_000,
): Promise<boolean> =>
  waitFor(
    async () => {
      const reports = await Promise.all(nodes.map(fetchReport));
      return reports.every(
        (report) => parseVersionIndex(report.version) >= parseVersionIndex(version),
      );
    },
    { limitMs, everyMs: 50, what: `version ${version} on ${nodes.length} nodes` },
  );

/** Polls all nodes and records every rollback to an older version. */
export const watchForRollbacks = (nodes: readonly MeshNode[]) => {
  const highestIndexes = new Map<string, number>();
  const rollbacks: string[] = [];
  let stopped = false;
  const checkVersion = async (node: MeshNode) => {
    const { version } = await fetchReport(node);
    const previousIndex = highestIndexes.get(node.name) ?? 0;
    // A node that has just started has no configuration yet and serves no calls.
    if (version !== undefined && parseVersionIndex(version) < previousIndex) {
      rollbacks.push(`${node.name} from ${previousIndex} to ${version}`);
    }
    highestIndexes.set(node.name, Math.max(previousIndex, parseVersionIndex(version)));
  };
  const pollVersions = async () => {
    while (!stopped) {
      await Promise.all(nodes.map((node) => checkVersion(node).catch(() => undefined)));
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
  };
  const running = pollVersions();
  return {
    stop: async () => {
      stopped = true;
      await running;
      assert.deepEqual(rollbacks, [], 'a proxy rolled back to an older version');
    },
  };
};

/** Waits until the confirmation of every node is younger than its lease. */
export const waitUntilAttached = (nodes: readonly MeshNode[], limitMs = 30_000) =>
  waitFor(
    async () => (await Promise.all(nodes.map(fetchReport))).every(({ detached }) => !detached),
    {
      limitMs,
      everyMs: 50,
      what: `confirmations younger than the lease on ${nodes.length} nodes`,
    },
  );
