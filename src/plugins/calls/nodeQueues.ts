/**
 * Lines in front of the connections to other nodes. A node holds few connections to another one,
 * and the pool serves its own queue in order of arrival: without a line, calls that may wait hold
 * up calls that must be answered fast. The line orders calls as the admission of an upstream does.
 */
import { createAdmission } from '../../core/calls/admission.js';
import type { AttemptListener, AttemptRequest, RunningAttempt } from '../../types/calls.js';
import type { Endpoint } from '../../types/public.js';
import type { Timer } from '../../utils/timer.js';
import { createAdmissionQueue, type AdmissionQueue } from './admissionQueue.js';
import type { RemoteSender } from './remoteSender.js';
import { connectionsPerNode } from './nodeLinks.js';

const createLine = (timer: Timer): AdmissionQueue =>
  createAdmissionQueue(createAdmission({ slots: connectionsPerNode, isAdaptive: false }), timer);

/** Creates a sender to other nodes that never has more calls under way than connections. */
export const createNodeQueues = (remote: RemoteSender, timer: Timer): RemoteSender => {
  const lines = new Map<string, AdmissionQueue>();

  const forgetIdle = () =>
    lines.forEach((line, address) => {
      if (line.queries.isIdle()) {
        line.commands.stop();
        lines.delete(address);
      }
    });

  const lineTo = (address: string): AdmissionQueue => {
    const known = lines.get(address);
    if (known) {
      return known;
    }
    forgetIdle();
    const line = createLine(timer);
    lines.set(address, line);
    return line;
  };

  const send = (
    endpoint: Endpoint,
    request: AttemptRequest,
    listener: AttemptListener,
  ): RunningAttempt => {
    const line = lineTo(endpoint.forwardAddress);
    const { attemptId, caller, className, deadlineAt, maxWaitMs, priority, rank } = request;
    const requestedAt = timer.now();
    let running: RunningAttempt | undefined;
    let isOver = false;

    const finish = (startedAt: number, outcome: 'ok' | 'failed') => {
      isOver = true;
      line.commands.finish(attemptId, { outcome, latencyMs: timer.now() - startedAt });
    };

    const start = () => {
      const startedAt = timer.now();
      const waitLeftMs = Math.max(0, maxWaitMs - (startedAt - requestedAt));
      running = remote.send(
        endpoint,
        { ...request, maxWaitMs: Math.round(waitLeftMs) },
        {
          onHead: (head) => listener.onHead(head),
          onData: (chunk) => listener.onData(chunk),
          onEnd: () => {
            finish(startedAt, 'ok');
            listener.onEnd();
          },
          onFailure: (failure) => {
            finish(startedAt, 'failed');
            listener.onFailure(failure);
          },
        },
      );
    };

    line.commands.request(
      { id: attemptId, className, caller, priority, rank, maxWaitMs, deadlineAt },
      (refusal) => {
        if (refusal === undefined) {
          start();
          return;
        }
        isOver = true;
        listener.onFailure({ reason: refusal, run: 'not_run', retried: false });
      },
    );

    return {
      abort: () => {
        if (!isOver) {
          isOver = true;
          running?.abort();
          line.commands.cancel(attemptId);
        }
      },
      resume: () => running?.resume(),
      mayHaveRun: () => running?.mayHaveRun() ?? false,
    };
  };

  return { send };
};
