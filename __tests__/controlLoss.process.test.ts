import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { withDeployment, type Deployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const targetsOf = (answerWithinMs: number): string => `
[service.routedienst]
expected = true
[class.field-lookup]
service = "routedienst"
match = [{ path = "/poles" }]
answer_within = "${answerWithinMs}ms"
idempotent = true
`;

/** Longer than the 3 s after which a data centre without contact is considered detached. */
const contactLostMs = 4_000;

const dataCentre = (name: string) => ({
  name,
  upstreams: [{ service: 'routedienst', count: 2 }],
});

interface StatusJson {
  readonly converged_ms: number;
  readonly data_centres: readonly {
    name: string;
    nodes: number;
    nodes_in_force: number;
    attached: boolean;
    confirmed_age_ms: number;
    behind: readonly unknown[];
  }[];
}

const readStatus = async (deployment: Deployment): Promise<StatusJson> => {
  const { stdout } = await deployment.cli(['status', '--json']);
  return JSON.parse(stdout) as StatusJson;
};

describe('loss of one control instance', () => {
  it('does not block changes while other instances feed the nodes of its data centre', async () => {
    const options = {
      dataCentres: ['dc-a', 'dc-b', 'dc-c'].map(dataCentre),
      targets: targetsOf(250),
    };
    await withDeployment(options, async (deployment) => {
      await deployment.control('control-dc-b').process.end('SIGKILL');
      await waitFor(
        async () => {
          const { data_centres: dataCentres } = await readStatus(deployment);
          return dataCentres.some(
            ({ name, confirmed_age_ms: age }) => name === 'dc-b' && age > contactLostMs,
          );
        },
        { everyMs: 200, what: 'the leader without contact to the lost instance' },
      );
      const applied = await deployment.apply(targetsOf(300));
      assert.equal(applied.exitCode, 0, applied.stderr + applied.stdout);
      const status = await waitFor(
        async () => {
          const current = await readStatus(deployment);
          const whole = current.data_centres.every(
            ({ nodes, nodes_in_force: inForce }) => nodes === 2 && inForce === 2,
          );
          return whole && current.data_centres.length === 3 ? current : undefined;
        },
        { limitMs: 20_000, everyMs: 200, what: 'status that counts each node once, in force' },
      );
      status.data_centres.forEach(({ behind }) => assert.deepEqual(behind, []));
    });
  });
});
