/**
 * Carries out the decisions of an admission: tells each call once whether it may start, and runs
 * the admission's ticks on the timer. The order in which calls start is decided in the core.
 */
import type {
  Admission,
  AdmissionCall,
  AdmissionEffect,
  AdmissionRefusal,
  FinishOutcome,
} from '../../core/calls/admission.js';
import type { Cancel, Timer } from '../../utils/timer.js';

/** Told once per call: undefined means that it may start. */
export type AdmissionListener = (refusal: AdmissionRefusal | undefined) => void;

export interface AdmissionQueue {
  readonly commands: {
    request(call: AdmissionCall, listener: AdmissionListener): void;
    /** Frees the slot of a call that was started. */
    finish(id: string, end: FinishOutcome): void;
    /** Takes back a call that waits or was started; its listener is not told. */
    cancel(id: string): void;
    stop(): void;
  };
  readonly queries: {
    /** True if no call waits or runs. */
    isIdle(): boolean;
  };
}

/** Creates the queue in front of an admission. */
export const createAdmissionQueue = (admission: Admission, timer: Timer): AdmissionQueue => {
  const listeners = new Map<string, AdmissionListener>();
  let cancelTick: Cancel | undefined;
  let tickAt = Infinity;

  const tell = (id: string, refusal: AdmissionRefusal | undefined) => {
    const listener = listeners.get(id);
    listeners.delete(id);
    listener?.(refusal);
  };

  const carryOut = (effects: readonly AdmissionEffect[]) => {
    effects.forEach((effect) => {
      if (effect.type !== 'waiting') {
        tell(effect.id, effect.type === 'refused' ? effect.reason : undefined);
      }
    });
    scheduleTick();
  };

  const scheduleTick = () => {
    const dueAt = admission.queries.nextTickAt();
    if (dueAt === undefined || dueAt >= tickAt) {
      return;
    }
    cancelTick?.();
    tickAt = dueAt;
    cancelTick = timer.after(Math.max(1, dueAt - timer.now()), () => {
      tickAt = Infinity;
      carryOut(admission.commands.tick(timer.now()));
    });
  };

  return {
    commands: {
      request: (call, listener) => {
        listeners.set(call.id, listener);
        carryOut(admission.commands.request(call, timer.now()));
      },
      finish: (id, end) => carryOut(admission.commands.finish(id, timer.now(), end)),
      cancel: (id) => {
        listeners.delete(id);
        carryOut(admission.commands.cancel(id, timer.now()));
      },
      stop: () => cancelTick?.(),
    },
    queries: {
      isIdle: () => admission.queries.inFlight() === 0 && admission.queries.waiting() === 0,
    },
  };
};
