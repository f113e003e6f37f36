/**
 * Applies the effects of an admission: notifies each call once whether it may start, and schedules
 * the admission's ticks on the timer. The start order is decided in `core/calls/admission.ts`.
 */
import type {
  Admission,
  AdmissionCall,
  AdmissionEffect,
  AdmissionRefusal,
  FinishOutcome,
} from '../../core/calls/admission.js';
import type { Cancel, Timer } from '../../utils/timer.js';

/** Called once per call; undefined means that the call may start. */
export type AdmissionListener = (refusal: AdmissionRefusal | undefined) => void;

export interface AdmissionQueue {
  readonly commands: {
    request(call: AdmissionCall, listener: AdmissionListener): void;
    /** Frees the slot of a started call. */
    finish(id: string, outcome: FinishOutcome): void;
    /** Removes a waiting or started call without notifying its listener. */
    cancel(id: string): void;
    stop(): void;
  };
  readonly queries: {
    /** True if no call is waiting or running. */
    isIdle(): boolean;
  };
}

/** Creates the queue in front of an admission. */
export const createAdmissionQueue = (admission: Admission, timer: Timer): AdmissionQueue => {
  const listeners = new Map<string, AdmissionListener>();
  let cancelTick: Cancel | undefined;
  let scheduledTickAt = Infinity;

  const notify = (id: string, refusal: AdmissionRefusal | undefined) => {
    const listener = listeners.get(id);
    listeners.delete(id);
    listener?.(refusal);
  };

  const applyEffects = (effects: readonly AdmissionEffect[]) => {
    effects.forEach((effect) => {
      if (effect.type !== 'waiting') {
        notify(effect.id, effect.type === 'refused' ? effect.reason : undefined);
      }
    });
    scheduleTick();
  };

  const scheduleTick = () => {
    const dueAt = admission.queries.nextTickAt();
    if (dueAt === undefined || dueAt >= scheduledTickAt) {
      return;
    }
    cancelTick?.();
    scheduledTickAt = dueAt;
    cancelTick = timer.after(Math.max(1, dueAt - timer.now()), () => {
      scheduledTickAt = Infinity;
      applyEffects(admission.commands.tick(timer.now()));
    });
  };

  return {
    commands: {
      request: (call, listener) => {
        listeners.set(call.id, listener);
        applyEffects(admission.commands.request(call, timer.now()));
      },
      finish: (id, outcome) => applyEffects(admission.commands.finish(id, timer.now(), outcome)),
      cancel: (id) => {
        listeners.delete(id);
        applyEffects(admission.commands.cancel(id, timer.now()));
      },
      stop: () => cancelTick?.(),
    },
    queries: {
      isIdle: () => admission.queries.inFlight() === 0 && admission.queries.waiting() === 0,
    },
  };
};
