/**
 * The control machines are replaced as planned, one after the other: a successor starts, has its
 * time to catch up, and the old machine is stopped for good. After a calm time, the machine that
 * acknowledges the next change loses its disk. Checks that the newest acknowledged configuration can
 * be read after the recovery.
 */
import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createDocument,
  exitCodes,
  putUntilClear,
  runCase,
  type Deployment,
  type Machine,
} from '../support/deployment.js';

/** A successor counts as caught up this long after its start (`catch_up_s`). */
const catchUpMs = 4_000;
/** Time without any disruption between the last replacement and the loss of the disk. */
const calmMs = 10_000;
const downMs = 3_000;
const recoveryMs = 15_000;
const readMs = 6_000;
const changePeriodMs = 250;
const zones = ['a', 'b', 'c'];

const documentOf = (version: number) =>
  createDocument(version, version - 1, [
    { name: 'look', prefix: '/look/', service: 'alpha', timeoutMs: 2_000 + version },
  ]);

const readVersion = async ({ callOperator, record }: Deployment, machine: Machine) => {
  const { answer, from } = await callOperator(machine, { path: '/Config.Get' });
  const found =
    answer?.status === 200 ? (JSON.parse(answer.body) as { version: number }) : undefined;
  record(
    `read at ${machine.name}: ${answer?.status ?? 'no answer'} (${from?.name}), ` +
      `version ${found?.version ?? 'none'}`,
  );
  return found?.version;
};

await runCase(async (deployment, hasTrouble) => {
  const { addMachine, writeSettings, start, record, terminate, kill, hasEnded, seedsOf } =
    deployment;
  const controls = zones.map((zone) => addMachine('control', zone));
  const nodes = zones.map((zone) => addMachine('node', zone, 'alpha'));
  for (const machine of [...controls, ...nodes]) {
    await writeSettings(machine, true);
  }
  await Promise.all([...controls, ...nodes].map(start));
  await sleep(3_000);
  let acknowledged = 0;
  /** Changes the configuration; resolves with the machine that acknowledged it. */
  const change = async (machines: readonly Machine[]) => {
    const outcome = await putUntilClear(deployment, machines, documentOf(acknowledged + 1), 20_000);
    if (outcome?.status !== 200) {
      throw new Error(`change ${acknowledged + 1} was not acknowledged`);
    }
    acknowledged += 1;
    return outcome.from!;
  };
  await change(controls);
  await sleep(5_000);

  const members = [...controls];
  const running = () => members.filter((machine) => !hasEnded(machine));
  const changeFor = async (ms: number, isListed: (machine: Machine) => boolean = () => true) => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      await change(running().filter(isListed));
      await sleep(changePeriodMs);
    }
  };
  const replace = async (leaving: Machine) => {
    const successor = addMachine('control', leaving.zone);
    await writeSettings(successor, false, seedsOf(running()));
    members.push(successor);
    await start(successor);
    await changeFor(catchUpMs, (machine) => machine !== successor);
    terminate(leaving).catch((error: unknown) => record(`stop failed: ${String(error)}`));
    members.splice(members.indexOf(leaving), 1);
  };

  if (hasTrouble) {
    for (const leaving of controls) {
      await replace(leaving);
    }
    await changeFor(calmMs);
    const wiped = await change(running());
    await kill(wiped);
    await rm(wiped.dataFolder, { recursive: true });
    record(`${wiped.name} has lost its disk; ${running().length} control machines run`);
    await sleep(downMs);
    await writeSettings(wiped, false, seedsOf(members));
    await start(wiped);
  } else {
    await changeFor(controls.length * catchUpMs + calmMs + downMs);
  }
  await sleep(recoveryMs);
  const until = performance.now() + readMs;
  const isRead = new Set<number | undefined>();
  while (performance.now() < until) {
    for (const machine of running()) {
      isRead.add(await readVersion(deployment, machine));
    }
    await sleep(500);
  }
  record(`newest acknowledged version: ${acknowledged}`);
  return isRead.has(acknowledged) ? exitCodes.held : exitCodes.broken;
});
