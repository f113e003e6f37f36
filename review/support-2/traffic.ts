/** Consumers of some machines, which send requests at a steady rate on kept connections. */
import { Agent } from 'node:http';
import {
  host,
  nextRequestId,
  now,
  send,
  sleep,
  type Machine,
  type Recorder,
} from './deployment.js';

export interface SentRequest {
  readonly id: string;
  readonly machine: Machine;
  readonly method: string;
  readonly at: number;
  status: number;
  endedAt: number;
  error?: string;
}

export interface TrafficOptions {
  readonly machines: readonly Machine[];
  readonly perSecond: number;
  readonly method: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly recorder: Recorder;
}

export const startTraffic = (options: TrafficOptions) => {
  const { machines, perSecond, method, path, deadlineMs } = options;
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  const sent: SentRequest[] = [];
  const open = new Set<Promise<void>>();
  let isStopped = false;

  const sendOne = async (machine: Machine) => {
    const request: SentRequest = {
      id: nextRequestId(),
      machine,
      method,
      at: now(),
      status: -1,
      endedAt: 0,
    };
    sent.push(request);
    const answer = await send(machine.outbound, {
      method,
      path,
      agent,
      headers: { host, 'request-id': request.id, 'deadline-ms': String(deadlineMs) },
      ...(method === 'POST' && { body: `body of ${request.id}` }),
      limitMs: deadlineMs + 500,
    });
    Object.assign(request, { status: answer.status, endedAt: now(), error: answer.error });
  };

  const run = async () => {
    let count = 0;
    while (!isStopped) {
      const machine = machines[count % machines.length]!;
      count += 1;
      const each = sendOne(machine).finally(() => open.delete(each));
      open.add(each);
      await sleep(1_000 / perSecond);
    }
  };
  const running = run();

  return {
    sent,
    stop: async () => {
      isStopped = true;
      await running;
      await Promise.all(open);
      agent.destroy();
    },
  };
};
