/**
 * Faults of a fleet of real processes, and since when each of them has been undisturbed. Faults may
 * overlap; a process has one at a time.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { NodeMachine, Platform } from './platform.js';

type Machine = Platform['controls'][number] | NodeMachine;

export type Fault =
  | 'freeze'
  /** Alternately suspended and running, several times a second: a machine without processor time. */
  | 'slow'
  /** Suspended again and again for less time than a parent may be silent. */
  | 'stutter'
  | 'kill'
  | 'herd'
  | 'wave'
  | 'freeze_control'
  | 'kill_control';

export interface FleetFaultsOptions {
  readonly platform: Platform;
  readonly random: () => number;
  record(text: string): void;
}

export const createFleetFaults = ({ platform, random, record }: FleetFaultsOptions) => {
  const { controls, nodes } = platform;
  /** Last time at which a machine was disturbed; Infinity while it is. */
  const disturbedAt = new Map<Machine, number>();
  /** The same for the control instances together. */
  let controlDisturbedAt = -Infinity;

  const isControl = (machine: Machine) => controls.some((each) => each === machine);
  const isFree = (machine: Machine) => disturbedAt.get(machine) !== Infinity;

  const setDisturbed = (machine: Machine, at: number) => {
    disturbedAt.set(machine, at);
    if (isControl(machine)) {
      controlDisturbedAt = at;
    }
  };

  const disturb = async (machine: Machine, what: string, cause: () => Promise<void>) => {
    setDisturbed(machine, Infinity);
    record(`${what} ${machine.name}`);
    await cause();
    setDisturbed(machine, performance.now());
    record(`end of ${what} ${machine.name}`);
  };

  const freeze = (machine: Machine, ms: number) =>
    disturb(machine, 'freeze', async () => {
      machine.process.pause();
      await sleep(ms);
      machine.process.resume();
    });

  const alternate = (machine: Machine, pausedMs: number, runningMs: number) =>
    disturb(machine, `pauses of ${pausedMs} ms,`, async () => {
      const until = performance.now() + 5_500;
      while (performance.now() < until) {
        machine.process.pause();
        await sleep(pausedMs);
        machine.process.resume();
        await sleep(runningMs);
      }
    });

  const restart = (machine: Machine, signal: 'SIGKILL' | 'SIGTERM', downMs: number) =>
    disturb(machine, signal, async () => {
      await machine.process.end(signal);
      await sleep(downMs);
      if (isControl(machine)) {
        platform.writeControlSettings(machine, false);
      }
      machine.process.start();
    });

  const chooseNodes = (share: number): NodeMachine[] =>
    nodes
      .filter(isFree)
      .map((node) => ({ node, order: random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, Math.max(1, Math.round(share * nodes.length)))
      .map(({ node }) => node);

  /** One control instance at a time, so that a quorum is left. */
  const chooseControl = (): Machine[] =>
    controls.every(isFree) ? [controls[Math.floor(random() * controls.length)]!] : [];

  const handlers: Record<Fault, () => Promise<void>[]> = {
    freeze: () => chooseNodes(0.08 + 0.12 * random()).map((node) => freeze(node, 3_500)),
    slow: () => chooseNodes(0.15).map((node) => alternate(node, 90, 20)),
    stutter: () => chooseNodes(0.15).map((node) => alternate(node, 1_200, 100)),
    kill: () => chooseNodes(0.16).map((node) => restart(node, 'SIGKILL', 3_500)),
    herd: () => chooseNodes(0.5).map((node) => restart(node, 'SIGKILL', 2_000)),
    wave: () =>
      chooseNodes(0.3).map(async (node, index) => {
        await sleep(index * 250);
        if (isFree(node)) {
          await restart(node, 'SIGTERM', 0);
        }
      }),
    freeze_control: () => chooseControl().map((control) => freeze(control, 4_000)),
    kill_control: () => chooseControl().map((control) => restart(control, 'SIGKILL', 3_500)),
  };

  return {
    /** Causes a fault. Resolves when it is over. */
    cause: async (fault: Fault): Promise<void> => {
      await Promise.all(handlers[fault]());
    },
    wasUndisturbedSince: (machine: Machine, at: number): boolean =>
      (disturbedAt.get(machine) ?? -Infinity) < at,
    wasControlUndisturbedSince: (at: number): boolean => controlDisturbedAt < at,
  };
};
