import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ClaimResponse } from '../src/gen/auburnsill/v1/ledger_pb.js';
import { createControlClient, findLeader, type ControlClient } from './support/controlClient.js';
import { withDeployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const keys = Array.from({ length: 40 }, (_, at) => `k${at}`);

/** Sends the claim to all instances until the leader answers, as a node does. */
const claim = (
  clients: readonly ControlClient[],
  key: string,
  attemptId: string,
): Promise<ClaimResponse> =>
  waitFor(
    async () => {
      const answers = await Promise.all(
        clients.map(({ ledger }) =>
          ledger
            .claim({ service: 's', key, attemptId, fingerprint: new Uint8Array([1]) })
            .catch(() => undefined),
        ),
      );
      return answers.find((answer) => answer && answer.outcome !== 'not_leader');
    },
    { what: `the claim of ${key}`, limitMs: 40_000, everyMs: 100 },
  );

describe('at-most-once ledger', () => {
  it('grants a key to one of two attempts although its leader is killed', async () => {
    const options = { dataCentres: ['dc-a', 'dc-b', 'dc-c'].map((name) => ({ name })) };
    await withDeployment(options, async (deployment) => {
      const clients = deployment.controls.map((control) =>
        createControlClient(deployment, control),
      );
      await findLeader(clients);
      const probes = await Promise.all(
        clients.map(({ ledger }) => ledger.claim({ service: 's', key: 'probe', attemptId: 'p' })),
      );
      const leader = deployment.controls[probes.findIndex(({ outcome }) => outcome === 'granted')]!;
      const race = keys.flatMap((key) => [claim(clients, key, 'a'), claim(clients, key, 'b')]);
      await leader.process.end('SIGKILL');
      leader.process.start();
      const answers = await Promise.all(race);
      keys.forEach((key, at) => {
        const pair = [answers[2 * at]!.outcome, answers[2 * at + 1]!.outcome].sort();
        assert.deepEqual(pair, ['granted', 'in_progress'], key);
      });
      const winners = keys.map((_, at) => (answers[2 * at]!.outcome === 'granted' ? 'a' : 'b'));
      const recorded = await Promise.all(
        keys.map((key, at) =>
          waitFor(async () => {
            const done = await Promise.all(
              clients.map(({ ledger }) =>
                ledger
                  .complete({
                    service: 's',
                    key,
                    attemptId: winners[at],
                    answer: { status: 201, body: new Uint8Array([7]) },
                  })
                  .catch(() => undefined),
              ),
            );
            return done.find((answer) => answer?.outcome === 'recorded');
          }),
        ),
      );
      assert.equal(recorded.length, keys.length);
      const again = await claim(clients, 'k0', 'c');
      assert.deepEqual([again.outcome, again.answer?.status], ['completed', 201]);
      clients.forEach(({ close }) => close());
    });
  });
});
