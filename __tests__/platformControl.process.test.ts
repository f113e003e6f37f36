import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { createDocument, startPlatform, type Platform } from './support/platform.js';
import { waitFor } from './support/waitFor.js';

const routes = [{ name: 'r-look', prefix: '/look/', service: 'alpha' }];
const host = 'mesh.example';

/** Resolves once the instance logs, after its first `since` lines, that it is a voter. */
const hasVote = ({ process: program, name }: Platform['controls'][number], since = 0) =>
  waitFor(
    () =>
      program
        .output()
        .slice(since)
        .some((line) => /"role":"(follower|leader)"/.test(line)),
    { limitMs: 15_000, what: `the vote of ${name}` },
  );

describe('control instances that are replaced as planned', () => {
  // Guards against voters that are gone for good: after three replacements two of five voters no
  // longer existed, and the loss of one disk ended control for good.
  it('accept changes after one of the successors has lost its disk', async () => {
    const platform = await startPlatform({
      dataCentres: ['a', 'b', 'c'].map((name) => ({ name, services: [] })),
    });
    try {
      const originals = [...platform.controls];
      let version = 0;
      const put = async (at: string) => {
        const next = createDocument(version + 1, version, routes);
        await waitFor(async () => (await platform.put(next, at)).status === 200, {
          limitMs: 15_000,
          what: `acceptance of ${version + 1}`,
        });
        version += 1;
      };
      await put(originals[0]!.ip);
      await Promise.all(originals.map((machine) => hasVote(machine)));
      const stopped: Promise<number | null>[] = [];
      for (const leaving of originals) {
        const successor = platform.addControl(leaving.dataCentre);
        const running = platform.controls.filter((machine) => machine.process.isRunning());
        platform.writeControlSettings(successor, false, platform.seedsOf(running));
        successor.process.start();
        await hasVote(successor);
        await put(successor.ip);
        stopped.push(leaving.process.end('SIGTERM'));
      }
      await Promise.all(stopped);
      const [, , , wiped, remaining] = platform.controls;
      await wiped!.process.end('SIGKILL');
      rmSync(join(platform.folder, `${wiped!.name}.data`), { recursive: true });
      await put(remaining!.ip);
    } finally {
      await platform.stop();
    }
  });
});

describe('control instances of which one is removed without a signal', () => {
  // Guards against a group without a majority while the voter that is gone for good still counts.
  it('read and accept changes after another one has lost its disk right after the removal', async () => {
    const platform = await startPlatform({
      dataCentres: ['a', 'b', 'c'].map((name) => ({ name, services: [] })),
    });
    try {
      const [removed, wiped, remaining] = platform.controls;
      const putOnce = async (version: number) =>
        (await platform.put(createDocument(version, version - 1, routes), remaining!.ip)).status;
      const put = (version: number) =>
        waitFor(async () => (await putOnce(version)) === 200, {
          limitMs: 15_000,
          what: `acceptance of ${version}`,
        });
      await put(1);
      await Promise.all(platform.controls.map((machine) => hasVote(machine)));
      const successor = platform.addControl('a');
      platform.writeControlSettings(successor, false);
      successor.process.start();
      await hasVote(successor);
      await put(2);
      await removed!.process.end('SIGKILL');
      await put(3);
      await wiped!.process.end('SIGKILL');
      rmSync(join(platform.folder, `${wiped!.name}.data`), { recursive: true });
      // Its leader, if it was not the leader itself, steps down before it is back.
      const running = [remaining!, successor];
      const read = async ({ ip }: { ip: string }) => {
        const { status, body } = await platform.get(ip);
        return status === 200 ? JSON.parse(body).version : status;
      };
      await waitFor(
        async () => (await Promise.all(running.map(read))).every((answer) => answer === 503),
        {
          limitMs: 5_000,
          what: 'the end of the leadership',
        },
      );
      platform.writeControlSettings(wiped!, false);
      wiped!.process.start();
      await waitFor(async () => (await read(remaining!)) === 3, {
        limitMs: 15_000,
        what: 'a read after the loss',
      });
      await put(4);
    } finally {
      await platform.stop();
    }
  });
});

describe('control instances on the platform', () => {
  let platform: Platform;
  let version = 0;
  let ids = 0;

  const put = async (step: number, at?: string) => {
    const next = createDocument(version + step, version, [
      ...routes,
      { name: 'r-new', prefix: `/v${version + step}/`, service: 'alpha' },
    ]);
    await waitFor(async () => (await platform.put(next, at)).status === 200, {
      limitMs: 10_000,
      what: `acceptance of ${version + step}`,
    });
    version += step;
    return next;
  };

  const isInForce = async () => {
    ids += 1;
    const path = `/v${version}/`;
    const [machine] = platform.nodes;
    return (await platform.call(machine!, { path, host, id: `c-${ids}` })).status === 200;
  };

  const readAt = async (ip: string) => {
    const answer = await platform.get(ip);
    return answer.status === 200 ? JSON.parse(answer.body).version : answer.status;
  };

  before(async () => {
    platform = await startPlatform({
      dataCentres: [
        { name: 'a', services: ['alpha'] },
        { name: 'b', services: [] },
        { name: 'c', services: [] },
      ],
    });
    await put(1);
    await platform.waitUntilReady();
  });
  after(() => platform.stop());

  it('each serve reads and changes', async () => {
    for (const { ip } of platform.controls) {
      await put(2, ip);
      assert.equal(await readAt(ip), version);
    }
    await waitFor(isInForce, { limitMs: 2_000 });
  });

  it('readmit an instance with an empty disk at its old address as a voter, without an operator', async () => {
    const machine = platform.controls[1]!;
    await machine.process.end('SIGKILL');
    rmSync(join(platform.folder, `${machine.name}.data`), { recursive: true });
    platform.writeControlSettings(machine, false);
    const since = machine.process.output().length;
    machine.process.start();
    await put(1, platform.controls[2]!.ip);
    // Without the third instance, a change needs the vote of the one whose disk was emptied.
    await hasVote(machine, since);
    await platform.controls[2]!.process.end('SIGKILL');
    await put(1);
    platform.writeControlSettings(platform.controls[2]!, false);
    platform.controls[2]!.process.start();
    await waitFor(isInForce, { limitMs: 5_000 });
  });

  it('replace a lost instance by a new one at an address that they did not know', async () => {
    const lost = platform.controls[0]!;
    await waitFor(async () => (await readAt(platform.controls[2]!.ip)) === version);
    const seeds = platform.seeds();
    await lost.process.end('SIGKILL');
    const successor = platform.addControl('a');
    platform.writeControlSettings(successor, false, seeds);
    successor.process.start();
    await hasVote(successor);
    await put(1, successor.ip);
    // Two of three voters are a quorum once the lost one is removed, 3 s after it went silent.
    await waitFor(
      () => {
        const changes = successor.process.output().filter((line) => line.includes('membership'));
        return changes.at(-1)?.includes(lost.ip) === false;
      },
      { limitMs: 10_000, what: 'the removal of the lost instance' },
    );
    await platform.controls[1]!.process.end('SIGKILL');
    await put(1, successor.ip);
    assert.equal(await readAt(successor.ip), version);
    await waitFor(isInForce, { limitMs: 5_000 });
  });

  it('refuse changes immediately, without effect, if no quorum is reachable', async () => {
    const [, , third, successor] = platform.controls;
    await third!.process.end('SIGKILL');
    await waitFor(async () => (await readAt(successor!.ip)) === 503, { limitMs: 5_000 });
    const startedAt = performance.now();
    const next = createDocument(version + 1, version, routes);
    assert.equal((await platform.put(next, successor!.ip)).status, 503);
    assert.ok(performance.now() - startedAt < 1_000);
  });
});
