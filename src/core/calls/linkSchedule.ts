/**
 * Schedule of the large responses on the link of a machine. Link time is reserved for a response
 * when its call is admitted, from the average size of its class, and corrected when its size is
 * known. So a call whose response the link cannot send by its target is refused before it runs.
 */
import { smallResponseBytes, type LinkPlace } from './linkPacer.js';

/** Weight of the newest sample in an average. */
const newestWeight = 0.1;
/** Maximum number of classes kept. */
const maxClasses = 4_096;
/**
 * Multiple of the average size of its class above which a response of unknown size is taken for one
 * that does not end in time.
 */
const maxUnknownSizeFactor = 4;
/** Time constant of the rate of small responses, in ms. */
const smallRateTimeConstantMs = 2_000;
/**
 * Time between the writing of the last bytes of a response and their arrival at the caller, in ms:
 * late chunks that are made up for wait on the link for up to 100 ms, and a second node passes them
 * on.
 */
const arrivalMarginMs = 100;
/** Share of the rate that is left for large responses at least. */
const minLargeShare = 0.1;

export interface Transfer {
  readonly className: string;
  /** Time until which the response is on target. */
  readonly targetAt: number;
  /** Time after which the response is of no use. */
  readonly deadlineAt: number;
}

interface Reservation extends Transfer {
  readonly reservedAt: number;
  isHeadKnown: boolean;
  /** Size of the response in bytes, if its head states it. */
  bytes: number | undefined;
  sentBytes: number;
}

interface ClassAverages {
  /** Size of a response in bytes. */
  bytes: number;
  /** Time from the reservation to the head of the response, in ms. */
  headMs: number;
}

export interface LinkSchedule {
  readonly commands: {
    reserve(id: number, transfer: Transfer, now: number): void;
    /** The head of a successful response has arrived; `bytes` is its size, if the head states it. */
    recordHead(id: number, bytes: number | undefined, now: number): void;
    recordSent(id: number, bytes: number): void;
    /** Counts bytes that are sent without pacing, and so leave less of the rate to the others. */
    recordUnpaced(id: number, bytes: number, now: number): void;
    /** Removes a reservation; a complete response tells a size that its head did not state. */
    end(id: number, isComplete: boolean): void;
  };
  readonly queries: {
    /**
     * Time after its target at which a further response would arrive, in ms; 0 if it is expected
     * on target, or if the link is free. For a class whose responses are too large for its target,
     * the deadline takes its place.
     */
    delayMs(transfer: Transfer, now: number): number;
    /** Time for which the link is reserved, in ms. */
    backlogMs(now: number): number;
    /** Place of a response in the order of the link, see `LinkPlace`. */
    place(id: number, now: number): LinkPlace | undefined;
  };
}

/** Creates the schedule of a link with a rate in bytes per ms. */
export const createLinkSchedule = (bytesPerMs: number): LinkSchedule => {
  const reservations = new Map<number, Reservation>();
  const averages = new Map<string, ClassAverages>();
  /** Bytes of small responses; decays exponentially. */
  let smallBytes = 0;
  let smallUpdatedAt = 0;

  const decaySmall = (now: number) => {
    smallBytes *= Math.exp(-Math.max(0, now - smallUpdatedAt) / smallRateTimeConstantMs);
    smallUpdatedAt = now;
  };

  /** Rate that small responses leave, in bytes per ms. */
  const rate = (now: number): number => {
    decaySmall(now);
    return Math.max(minLargeShare * bytesPerMs, bytesPerMs - smallBytes / smallRateTimeConstantMs);
  };

  /** Average size of a response; 0 for classes of small ones, which do not wait. */
  const averageBytes = (className: string): number => {
    const { bytes = 0 } = averages.get(className) ?? {};
    return bytes > smallResponseBytes ? bytes : 0;
  };

  const remainingBytes = ({ className, bytes, sentBytes }: Reservation): number =>
    Math.max(0, (bytes ?? averageBytes(className)) - sentBytes);

  /** Time of arrival if the response is sent before all others; Infinity if it seems endless. */
  const earliestArrival = (reservation: Reservation, now: number, rateNow: number): number => {
    const { className, isHeadKnown, bytes, sentBytes } = reservation;
    const seemsEndless =
      isHeadKnown &&
      bytes === undefined &&
      sentBytes > maxUnknownSizeFactor * averageBytes(className);
    return seemsEndless ? Infinity : now + remainingBytes(reservation) / rateNow + arrivalMarginMs;
  };

  const place = (id: number, now: number): LinkPlace | undefined => {
    const reservation = reservations.get(id);
    if (!reservation) {
      return undefined;
    }
    const { targetAt, deadlineAt } = reservation;
    const arrivalAt = earliestArrival(reservation, now, rate(now));
    if (arrivalAt <= targetAt && arrivalAt < Infinity) {
      return { group: 'on_target', endsAt: targetAt };
    }
    return arrivalAt <= deadlineAt && arrivalAt < Infinity
      ? { group: 'late', endsAt: deadlineAt }
      : undefined;
  };

  /** Leaves out responses that miss their targets: they yield to those that do not. */
  const backlogMs = (now: number): number => {
    const rateNow = rate(now);
    let bytes = 0;
    reservations.forEach((reservation) => {
      const isOnTarget = earliestArrival(reservation, now, rateNow) <= reservation.targetAt;
      bytes += isOnTarget ? remainingBytes(reservation) : 0;
    });
    return bytes / rateNow;
  };

  const delayMs = ({ className, targetAt, deadlineAt }: Transfer, now: number): number => {
    const bytes = averageBytes(className);
    if (bytes === 0) {
      return 0;
    }
    const waitMs = backlogMs(now);
    const { headMs = 0 } = averages.get(className) ?? {};
    const sentMs = bytes / rate(now) + arrivalMarginMs;
    // A class that misses its target on a free link as well is of use until its deadline.
    const limitAt = now + headMs + sentMs <= targetAt ? targetAt : deadlineAt;
    return waitMs === 0 ? 0 : Math.max(0, now + Math.max(headMs, waitMs) + sentMs - limitAt);
  };

  const learn = (className: string, key: keyof ClassAverages, value: number) => {
    const known = averages.get(className) ?? { bytes: 0, headMs: 0 };
    const average = known[key] === 0 ? value : known[key] + newestWeight * (value - known[key]);
    averages.set(className, { ...known, [key]: average });
    if (averages.size > maxClasses) {
      averages.delete(averages.keys().next().value!);
    }
  };

  const recordHead = (id: number, bytes: number | undefined, now: number) => {
    const reservation = reservations.get(id);
    if (reservation && !reservation.isHeadKnown) {
      reservation.isHeadKnown = true;
      reservation.bytes = bytes;
      learn(reservation.className, 'headMs', now - reservation.reservedAt);
      if (bytes !== undefined) {
        // A faulty upstream may state any size. No response above this one arrives in time.
        const maxBytes = rate(now) * Math.max(0, reservation.deadlineAt - reservation.reservedAt);
        learn(reservation.className, 'bytes', Math.min(bytes, maxBytes));
      }
    }
  };

  const recordSent = (id: number, bytes: number) => {
    const reservation = reservations.get(id);
    if (reservation) {
      reservation.sentBytes += bytes;
    }
  };

  const end = (id: number, isComplete: boolean) => {
    const reservation = reservations.get(id);
    reservations.delete(id);
    if (reservation && isComplete && reservation.bytes === undefined) {
      learn(reservation.className, 'bytes', reservation.sentBytes);
    }
  };

  return {
    commands: {
      reserve: (id, transfer, now) => {
        reservations.set(id, {
          ...transfer,
          reservedAt: now,
          isHeadKnown: false,
          bytes: undefined,
          sentBytes: 0,
        });
      },
      recordHead,
      recordSent,
      recordUnpaced: (id, bytes, now) => {
        decaySmall(now);
        smallBytes += bytes;
        recordSent(id, bytes);
      },
      end,
    },
    queries: {
      delayMs,
      backlogMs,
      place,
    },
  };
};
