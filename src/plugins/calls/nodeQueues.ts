/**
 * Queues in front of the connections to other nodes, one per node. A node holds few connections to
 * another node, and a connection pool serves its own queue in order of arrival, so that calls which
 * can wait would delay calls which need a fast response. These queues order calls by the same rules
 * as the admission of an upstream.
 */
import { createAdmission } from '../../core/calls/admission.js';
import type { AttemptListener, AttemptRequest, RunningAttempt } from '../../types/calls.js';
import type { Endpoint } from '../../types/public.js';
import type { Timer } from '../../utils/timer.js';
import { createAdmissionQueue, type AdmissionQueue } from './admissionQueue.js';
import type { RemoteSender } from './remoteSender.js';
import { connectionsPerNode } from './nodeLinks.js';

const createQueue = (timer: Timer): AdmissionQueue =>
  createAdmissionQueue(createAdmission({ slots: connectionsPerNode, isAdaptive: false }), timer);

/** Wraps a sender so that it never has more calls in flight to a node than connections. */
export const createNodeQueues = (remote: RemoteSender, timer: Timer): RemoteSender => {
  const queues = new Map<string, AdmissionQueue>();

  const removeIdle = () =>
    queues.forEach((queue, address) => {
      if (queue.queries.isIdle()) {
        queue.commands.stop();
        queues.delete(address);
      }
    });

  const queueFor = (address: string): AdmissionQueue => {
    const known = queues.get(address);
    if (known) {
      return known;
    }
    removeIdle();
    const queue = createQueue(timer);
    queues.set(address, queue);
    return queue;
  };

  const send = (
    endpoint: Endpoint,
    request: AttemptRequest,
    listener: AttemptListener,
  ): RunningAttempt => {
    const queue = queueFor(endpoint.forwardAddress);
    const { attemptId, caller, className, deadlineAt, targetAt, maxWaitMs } = request;
    const { priority, rank } = request;
    const requestedAt = timer.now();
    let running: RunningAttempt | undefined;
    let isOver = false;

    const finish = (startedAt: number, outcome: 'ok' | 'failed') => {
      isOver = true;
      queue.commands.finish(attemptId, { outcome, latencyMs: timer.now() - startedAt });
    };

    const start = () => {
      const startedAt = timer.now();
      const remainingWaitMs = Math.max(0, maxWaitMs - (startedAt - requestedAt));
      running = remote.send(
        endpoint,
        { ...request, maxWaitMs: Math.round(remainingWaitMs) },
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

    queue.commands.request(
      { id: attemptId, className, caller, priority, rank, maxWaitMs, deadlineAt, targetAt },
      (refusal) => {
        if (refusal === undefined) {
          start();
          return;
        }
        isOver = true;
        listener.onFailure({
          reason: refusal,
          run: 'not_run',
          stage: 'link_queue',
          retried: false,
        });
      },
    );

    return {
      abort: () => {
        if (!isOver) {
          isOver = true;
          running?.abort();
          queue.commands.cancel(attemptId);
        }
      },
      resume: () => running?.resume(),
      mayHaveRun: () => running?.mayHaveRun() ?? false,
    };
  };

  return { send };
};
