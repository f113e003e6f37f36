/**
 * RPC clients of control instances for tests: operator services and the ledger.
 */
import { readFileSync } from 'node:fs';
import { createClient, type Client } from '@connectrpc/connect';
import { Ledger } from '../../src/gen/auburnsill/v1/ledger_pb.js';
import { OperatorCommands, OperatorQueries } from '../../src/gen/auburnsill/v1/operator_pb.js';
import { createTokenInterceptor } from '../../src/plugins/operators/access.js';
import { createRpcTransport } from '../../src/plugins/rpc.js';
import type { ControlInstance, Deployment } from './deployment.js';
import { waitFor } from './waitFor.js';

export interface ControlClient {
  readonly name: string;
  readonly commands: Client<typeof OperatorCommands>;
  readonly queries: Client<typeof OperatorQueries>;
  readonly ledger: Client<typeof Ledger>;
  close(): void;
}

export const createControlClient = (
  { operatorTokenFile, clusterToken }: Deployment,
  { name, peer }: ControlInstance,
  timeoutMs = 10_000,
): ControlClient => {
  const operatorToken = readFileSync(operatorTokenFile, 'utf8').trim();
  const operator = createRpcTransport(peer, [createTokenInterceptor(operatorToken)], timeoutMs);
  const node = createRpcTransport(peer, [createTokenInterceptor(clusterToken)], timeoutMs);
  return {
    name,
    commands: createClient(OperatorCommands, operator.transport),
    queries: createClient(OperatorQueries, operator.transport),
    ledger: createClient(Ledger, node.transport),
    close: () => {
      operator.close();
      node.close();
    },
  };
};

/** Waits until one of the instances is a leader that serves reads, and returns its client. */
export const findLeader = (clients: readonly ControlClient[]): Promise<ControlClient> =>
  waitFor(
    async () => {
      const responses = await Promise.all(
        clients.map((client) =>
          client.queries.history({ limit: 1 }, { timeoutMs: 2_000 }).catch(() => undefined),
        ),
      );
      return clients.find((_, position) => responses[position]?.outcome === 'ok');
    },
    { what: 'a leader', limitMs: 30_000 },
  );

/** Formats targets with one class. Its rate distinguishes the changes of a test. */
export const formatTargets = (rate: number): string => `
[service.velddienst]
expected = true

[class.pole-count]
service = "velddienst"
idempotent = true
may_wait = "30s"
rate = ${rate}
`;

/** Reads a gauge of a control instance for the group `configuration`. */
export const readGauge = async ({ admin }: ControlInstance, name: string): Promise<number> => {
  const text = await (await fetch(`http://${admin}/metrics`)).text();
  const pattern = new RegExp(`^auburnsill_control_${name}\\{group="configuration"\\} (.+)$`, 'm');
  return Number(pattern.exec(text)?.[1]);
};

/** Waits until all instances have applied the log up to the same index. */
export const waitForReplication = (controls: readonly ControlInstance[]): Promise<unknown> =>
  waitFor(
    async () => {
      const [first, ...others] = await Promise.all(
        controls.map((control) => readGauge(control, 'applied_index')),
      );
      return first! > 0 && others.every((index) => index === first);
    },
    { what: 'an equal applied index', limitMs: 30_000 },
  );
