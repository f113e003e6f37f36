/**
 * A deployment as operators and the test see it: changes by RPC, and what each node reports about
 * itself.
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

/** Targets with one class for each service; the importance makes contents differ. */
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

/** Index of a version in text form, 0 if there is none. */
export const parseVersionIndex = (version: string | undefined): number =>
  Number(version?.split('.')[1] ?? 0);

export interface ChangeClient {
  /** Applies targets and returns the version, as `term.index`. */
  apply(targets: string, allowDetached?: readonly string[]): Promise<string>;
  close(): void;
}

/** Applies changes by RPC, which is faster than a process of the command line for each. */
export const createChangeClient = (
  deployment: Pick<Deployment, 'controls' | 'operatorTokenFile'>,
): ChangeClient => {
  const token = readFileSync(deployment.operatorTokenFile, 'utf8').trim();
  const links = deployment.controls.map(({ peer }) => {
    const { transport, close } = createRpcTransport(peer, [createTokenInterceptor(token)]);
    return { peer, client: createClient(OperatorCommands, transport), close };
  });
  let base: { term: bigint; index: bigint } | undefined;
  let leader = links[0];

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
      // A control instance that is gone gives no hint: the next one is asked.
      leader = links[(links.indexOf(leader!) + 1) % links.length];
      throw error;
    });
    if (response?.outcome === 'not_leader') {
      leader = links.find(({ peer }) => peer === response.leaderAddress) ?? leader;
      return undefined;
    }
    // Another change came first: this one is made on top of it.
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
    close: () => links.forEach(({ close }) => close()),
  };
};

/** Waits until all nodes have a version in force that is not older. */
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

/** Polls all nodes and records every step back to an older version. */
export const watchForRollbacks = (nodes: readonly MeshNode[]) => {
  const highest = new Map<string, number>();
  const stepsBack: string[] = [];
  let stopped = false;
  const look = async (node: MeshNode) => {
    const { version } = await fetchReport(node);
    const before = highest.get(node.name) ?? 0;
    // A node that has just started holds nothing yet and serves nothing.
    if (version !== undefined && parseVersionIndex(version) < before) {
      stepsBack.push(`${node.name} from ${before} to ${version}`);
    }
    highest.set(node.name, Math.max(before, parseVersionIndex(version)));
  };
  const watch = async () => {
    while (!stopped) {
      await Promise.all(nodes.map((node) => look(node).catch(() => undefined)));
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
  };
  const running = watch();
  return {
    stop: async () => {
      stopped = true;
      await running;
      assert.deepEqual(stepsBack, [], 'a proxy went back to an older version');
    },
  };
};

/** Waits until every node has a confirmation younger than its lease. */
export const waitUntilAttached = (nodes: readonly MeshNode[], limitMs = 30_000) =>
  waitFor(
    async () => (await Promise.all(nodes.map(fetchReport))).every(({ detached }) => !detached),
    {
      limitMs,
      everyMs: 50,
      what: `confirmations younger than the lease on ${nodes.length} nodes`,
    },
  );
