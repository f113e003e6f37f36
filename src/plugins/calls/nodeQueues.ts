/**
 * Queues in front of the connections to other nodes, one per node. A node holds few connections to
 * another node, and a connection pool serves its own queue in order of arrival, so that calls which
 * can wait would delay calls which need a fast response. These queues order calls by the same rules
 * as the admission of an upstream. A call leaves its place in the queue when the head of its response
 * arrives: what follows waits for the link of the other node, and says nothing about its load.
 */
import { createAdmission } from '../../core/calls/admission.js';
import type { AttemptListener, AttemptRequest, RunningAttempt } from '../../types/calls.js';
import type { Endpoint } from '../../types/public.js';
import type { Timer } from '../../utils/timer.js';
import { createAdmissionQueue, type AdmissionQueue } from './admissionQueue.js';
import type { RemoteSender } from './remoteSender.js';
import { connectionsPerNode } from './nodeLinks.js';

/**
 * Responses whose bodies may arrive from one node beside its calls in flight. It bounds the
 * connections of a node: with 100 others, 24 to each of them are half of 4,096 descriptors.
 */
const maxBodiesPerNode = 16;

interface NodeQueue {
  readonly calls: AdmissionQueue;
  /** Responses of which the head has arrived, and which no longer count as calls in flight. */
  bodies: number;
}

const createQueue = (timer: Timer, wholeCall: boolean): NodeQueue => ({
  calls: createAdmissionQueue(
    createAdmission({ slots: connectionsPerNode, isAdaptive: false, wholeCall }),
    timer,
  ),
  bodies: 0,
});

/** Wraps a sender so that it never has more calls in flight to a node than connections. */
export const createNodeQueues = (
  remote: RemoteSender,
  timer: Timer,
  wholeCall = false,
): RemoteSender => {
  const queues = new Map<string, NodeQueue>();

  const removeIdle = () =>
    queues.forEach(({ calls, bodies }, address) => {
      if (calls.queries.isIdle() && bodies === 0) {
        calls.commands.stop();
        queues.delete(address);
      }
    });

  const queueFor = (address: string): NodeQueue => {
    const known = queues.get(address);
    if (known) {
      return known;
    }
    removeIdle();
    const queue = createQueue(timer, wholeCall);
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
    const { priority, rank, isNested } = request;
    const requestedAt = timer.now();
    let running: RunningAttempt | undefined;
    let isOver = false;
    let isBodyCounted = false;

    const endBody = () => {
      queue.bodies -= isBodyCounted ? 1 : 0;
      isBodyCounted = false;
    };

    const finishCall = (startedAt: number, outcome: 'ok' | 'failed') =>
      queue.calls.commands.finish(attemptId, { outcome, latencyMs: timer.now() - startedAt });

    const startBody = (startedAt: number) => {
      if (!isOver && queue.bodies < maxBodiesPerNode) {
        isBodyCounted = true;
        queue.bodies += 1;
        finishCall(startedAt, 'ok');
      }
    };

    const finish = (startedAt: number, outcome: 'ok' | 'failed') => {
      isOver = true;
      if (isBodyCounted) {
        endBody();
      } else {
        finishCall(startedAt, outcome);
      }
    };

    const start = () => {
      const startedAt = timer.now();
      const remainingWaitMs = Math.max(0, maxWaitMs - (startedAt - requestedAt));
      running = remote.send(
        endpoint,
        { ...request, maxWaitMs: Math.round(remainingWaitMs) },
        {
          onHead: (head) => {
            listener.onHead(head);
            startBody(startedAt);
          },
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

    queue.calls.commands.request(
      {
        id: attemptId,
        className,
        caller,
        priority,
        rank,
        isNested,
        maxWaitMs,
        deadlineAt,
        targetAt,
      },
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
          endBody();
          queue.calls.commands.cancel(attemptId);
        }
      },
      resume: () => running?.resume(),
      mayHaveRun: () => running?.mayHaveRun() ?? false,
    };
  };

  return { send };
};
