import assert from 'node:assert/strict';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { playChanges } from './support/changeSoak.js';
import type { Fault } from './support/fleetFaults.js';
import { startPlatform, type Platform } from './support/platform.js';

/**
 * By hand: SOAK_SEEDS=1-50 (first and last seed), SOAK_NODES=20,20,20 (in the data centres), SOAK_MS,
 * SOAK_FAULTS, and SOAK_LOGS, a folder for the logs of all processes. More than 16 nodes in a data
 * centre are needed for some of them to feed others.
 */
const [firstSeed = 1, lastSeed = firstSeed] = (process.env.SOAK_SEEDS ?? '1-2')
  .split('-')
  .map(Number);
const nodeCounts = (process.env.SOAK_NODES ?? '20,2,2').split(',').map(Number);
const lengthMs = Number(process.env.SOAK_MS ?? 16_000);
const logFolder = process.env.SOAK_LOGS;
const services = ['alpha', 'beta'];
const faults = (process.env.SOAK_FAULTS?.split(',') ?? [
  'freeze',
  'slow',
  'stutter',
  'kill',
  'herd',
  'wave',
  'freeze_control',
  'kill_control',
]) as Fault[];

const saveLogs = (folder: string, platform: Platform, events: readonly string[]) => {
  mkdirSync(folder, { recursive: true });
  [...platform.controls, ...platform.nodes].forEach(({ name, process: { output } }) =>
    writeFileSync(join(folder, `${name}.log`), output().join('\n')),
  );
  writeFileSync(join(folder, 'events.txt'), events.join('\n'));
};

describe('changes in quick succession', () => {
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    // Guards against undisturbed nodes that serve an old configuration while others fail.
    it(`are in force in time on undisturbed nodes during faults, seed ${seed}`, async () => {
      const platform = await startPlatform({
        dataCentres: nodeCounts.map((count, dataCentre) => ({
          name: `dc-${dataCentre}`,
          services: Array.from({ length: count }, (_, index) => services[index % services.length]!),
        })),
        endpoint: { heartbeatMs: 1_000 },
      });
      try {
        const result = await playChanges({ platform, services, seed, lengthMs, faults });
        if (logFolder) {
          saveLogs(join(logFolder, `seed-${seed}`), platform, result.events);
        }
        const { late, probes, refusals, changes, longestAckMs } = result;
        console.log(
          JSON.stringify({ seed, late: late.length, probes, refusals, changes, longestAckMs }),
        );
        assert.deepEqual(late, []);
        assert.ok(probes > 0);
      } finally {
        await platform.stop();
      }
    });
  }
});
