/* eslint-disable n/no-sync -- a case writes its few files before and after it runs */
/** Frame of a case: its record, and its end with the exit code that the review asks for. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createDocument,
  sendRequest,
  type RouteOptions,
} from '../../__tests__/support/platform.js';
import { createDeployment, type Deployment, type Sidecar } from './deployment.js';

export { createDocument, sleep, type RouteOptions };

export const host = 'mesh.example';
export const zones = ['a', 'b', 'c'] as const;
const limitMs = 115_000;

export interface Case {
  readonly deployment: Deployment;
  /** False if the case runs without its disruption. */
  readonly hasTrouble: boolean;
  /** Adds a line to record.txt. */
  note(text: string): void;
}

export interface Answer {
  readonly id: string;
  readonly status: number | string;
  /** Id of the endpoint that ran the request, as its body names it; empty for other answers. */
  readonly by: string;
}

/** Runs a case in the folder that the first argument names. `run` resolves with true if the rule broke. */
export const runCase = async (linkMbps: number, run: (each: Case) => Promise<boolean>) => {
  const folder = process.argv[2] ?? '.';
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = performance.now();
  const lines: string[] = [];
  const note = (text: string) => {
    lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} s  ${text}`);
  };
  let deployment: Deployment | undefined;
  let exitCode = 2;
  const finish = async () => {
    await deployment?.stop().catch(() => undefined);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    // eslint-disable-next-line n/no-process-exit -- the stand-ins keep the process alive
    process.exit(exitCode);
  };
  setTimeout(() => {
    note('the case took too long');
    exitCode = 2;
    finish().catch(() => undefined);
  }, limitMs).unref();
  try {
    note(hasTrouble ? 'with the disruption' : 'without the disruption');
    deployment = await createDeployment(zones, linkMbps);
    const isBroken = await run({ deployment, hasTrouble, note });
    note(isBroken ? 'the rule was broken' : 'the rule held');
    exitCode = isBroken ? 1 : 0;
  } catch (error) {
    note(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
  }
  await finish();
};

/** Starts three core machines and a sidecar machine with its endpoint for each entry of `services`. */
export const startAll = async (
  { deployment }: Case,
  services: readonly (readonly [zone: string, service: string])[],
): Promise<readonly Sidecar[]> => {
  const cores = zones.map((zone) => deployment.addCore(zone));
  cores.forEach((core) => {
    deployment.writeCoreSettings(core, cores, true);
    core.process.start();
  });
  const sidecars = services.map(([zone, service]) => deployment.addSidecar(zone, service));
  sidecars.forEach((sidecar) => {
    deployment.writeSidecarSettings(sidecar, cores, true);
    sidecar.process.start();
  });
  await Promise.all(sidecars.map((sidecar) => deployment.startEndpoint(sidecar)));
  return sidecars;
};

/** Sends a configuration again until it is acknowledged, as the operator does. */
export const putUntilAccepted = async (
  { deployment, note }: Case,
  version: number,
  base: number,
  routes: readonly RouteOptions[],
) => {
  const body = JSON.stringify(createDocument(version, base, routes));
  const until = performance.now() + 30_000;
  for (let attempt = 0; performance.now() < until; attempt += 1) {
    const core = deployment.cores[attempt % deployment.cores.length]!;
    const { status } = await deployment.order(core, '/Config.Put', body);
    if (status === 200) {
      note(`configuration ${version} acknowledged by ${core.name} or the leader that it named`);
      return;
    }
    await sleep(200);
  }
  throw new Error(`configuration ${version} was not acknowledged in 30 s`);
};

let requests = 0;

/** Sends a request to a machine and records it. The project's endpoint puts its id into the body. */
export const send = async (
  { note }: Case,
  sidecar: Sidecar,
  path: string,
  method: string,
): Promise<Answer> => {
  requests += 1;
  const id = `q${String(requests).padStart(5, '0')}`;
  try {
    const answer = await sendRequest(sidecar.outbound, {
      path,
      host,
      id,
      method,
      deadlineMs: 1_200,
    });
    const by = answer.status === 200 ? (answer.body.split(' ')[0] ?? '') : '';
    note(`${id} ${method} ${path} at ${sidecar.name}: ${answer.status} ${by}`);
    return { id, status: answer.status, by };
  } catch (error) {
    const status = (error as { code?: string }).code ?? String(error);
    note(`${id} ${method} ${path} at ${sidecar.name}: ${status}`);
    return { id, status, by: '' };
  }
};

/** Waits until each machine serves each path, so that a case begins with a working deployment. */
export const waitUntilServed = async (
  each: Case,
  sidecars: readonly Sidecar[],
  paths: readonly string[],
) => {
  const until = performance.now() + 30_000;
  for (const sidecar of sidecars) {
    for (const path of paths) {
      while ((await send(each, sidecar, path, 'GET')).status !== 200) {
        if (performance.now() > until) {
          throw new Error(`${path} is not served at ${sidecar.name}`);
        }
        await sleep(200);
      }
    }
  }
};
