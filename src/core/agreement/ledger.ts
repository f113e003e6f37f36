/**
 * State machine of the replica group `ledger`: claims of idempotency keys, so that an at-most-once
 * call is sent by one attempt only. Commands carry the time, because a state machine has no clock.
 */
import type { ClaimOutcome, LedgerAnswer, StateMachine } from '../../types/internal.js';

/** Time for which a key is kept, in ms. */
export const ledgerRetentionMs = 24 * 3_600_000;
/**
 * Maximum number of keys. Further claims are refused, because evicting a key would permit its call
 * to run again.
 */
export const maxKeys = 200_000;
/**
 * Limit for the total size of the recorded bodies. The oldest bodies are dropped first; the
 * recorded answers of these calls can then no longer be replayed to a resend.
 */
export const maxBodyBytes = 16 * 1024 * 1024;
/** Largest body that is recorded. */
export const maxAnswerBodyBytes = 64 * 1024;

interface KeyCommand {
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
}

export type LedgerCommand =
  | (KeyCommand & { readonly type: 'claim'; readonly fingerprint: string; readonly atMs: number })
  | (KeyCommand & { readonly type: 'complete'; readonly answer: LedgerAnswer })
  | (KeyCommand & { readonly type: 'release' })
  | { readonly type: 'expire'; readonly beforeMs: number };

export type LedgerResult =
  | ClaimOutcome
  | { readonly outcome: 'recorded' | 'released' | 'expired' | 'unknown_claim' | 'full' };

interface Claim {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly atMs: number;
  readonly answer?: LedgerAnswer;
}

export interface LedgerLimits {
  readonly maxKeys: number;
  readonly maxBodyBytes: number;
}

export interface Ledger {
  readonly machine: StateMachine<LedgerResult>;
  readonly queries: {
    size(): number;
    bodyBytes(): number;
    /** Time of the oldest claim, in ms. */
    oldestAtMs(): number | undefined;
  };
}

type WireAnswer = Omit<LedgerAnswer, 'body'> & { readonly body: string };

interface Snapshot {
  readonly claims: readonly [string, Omit<Claim, 'answer'> & { answer?: WireAnswer }][];
  readonly withBody: readonly string[];
}

const encodeText = (text: string): Uint8Array => new TextEncoder().encode(text);
const decodeText = (bytes: Uint8Array): string => new TextDecoder().decode(bytes);

const toWire = ({ body, ...answer }: LedgerAnswer): WireAnswer => ({
  ...answer,
  body: Buffer.from(body).toString('base64'),
});

const fromWire = ({ body, ...answer }: WireAnswer): LedgerAnswer => ({
  ...answer,
  body: new Uint8Array(Buffer.from(body, 'base64')),
});

const omitBody = (answer: LedgerAnswer): LedgerAnswer => ({
  ...answer,
  body: new Uint8Array(),
  bodyOmitted: true,
});

const limitBody = (answer: LedgerAnswer): LedgerAnswer =>
  answer.body.length <= maxAnswerBodyBytes ? answer : omitBody(answer);

export const encodeLedgerCommand = (command: LedgerCommand): Uint8Array =>
  encodeText(
    JSON.stringify(
      command.type === 'complete'
        ? { ...command, answer: toWire(limitBody(command.answer)) }
        : command,
    ),
  );

const decodeLedgerCommand = (payload: Uint8Array): LedgerCommand => {
  const command = JSON.parse(decodeText(payload)) as LedgerCommand;
  return command.type === 'complete'
    ? { ...command, answer: fromWire(command.answer as unknown as WireAnswer) }
    : command;
};

const keyOf = ({ service, key }: KeyCommand): string => JSON.stringify([service, key]);

/** Creates the state machine of the group `ledger`. */
export const createLedger = (limits: LedgerLimits = { maxKeys, maxBodyBytes }): Ledger => {
  let claims = new Map<string, Claim>();
  let bodyBytes = 0;

  /** Keys with a recorded body, oldest first. */
  const withBody = new Set<string>();

  const sizeOf = ({ answer }: Claim): number => answer?.body.length ?? 0;

  const drop = (id: string, claim: Claim) => {
    claims.delete(id);
    withBody.delete(id);
    bodyBytes -= sizeOf(claim);
  };

  const outcomeOf = (claim: Claim, command: Extract<LedgerCommand, { type: 'claim' }>) => {
    if (claim.fingerprint !== command.fingerprint) {
      return { outcome: 'mismatch' } as const;
    }
    if (claim.answer) {
      return { outcome: 'completed', answer: claim.answer } as const;
    }
    // The same attempt repeats its claim if the answer to it was lost.
    const isSame = claim.attemptId === command.attemptId;
    return { outcome: isSame ? 'granted' : 'in_progress' } as const;
  };

  const claim = (command: Extract<LedgerCommand, { type: 'claim' }>): LedgerResult => {
    const id = keyOf(command);
    const existing = claims.get(id);
    if (existing) {
      return outcomeOf(existing, command);
    }
    if (claims.size >= limits.maxKeys) {
      return { outcome: 'full' };
    }
    const { attemptId, fingerprint, atMs } = command;
    claims.set(id, { attemptId, fingerprint, atMs });
    return { outcome: 'granted' };
  };

  const limitBodies = () => {
    for (const id of withBody) {
      if (bodyBytes <= limits.maxBodyBytes) {
        return;
      }
      const kept = claims.get(id)!;
      bodyBytes -= sizeOf(kept);
      withBody.delete(id);
      claims.set(id, { ...kept, answer: omitBody(kept.answer!) });
    }
  };

  const addBody = (id: string, { body }: LedgerAnswer) => {
    if (body.length > 0) {
      withBody.add(id);
      bodyBytes += body.length;
    }
  };

  const complete = (command: Extract<LedgerCommand, { type: 'complete' }>): LedgerResult => {
    const id = keyOf(command);
    const existing = claims.get(id);
    if (existing?.attemptId !== command.attemptId) {
      return { outcome: 'unknown_claim' };
    }
    if (!existing.answer) {
      claims.set(id, { ...existing, answer: command.answer });
      addBody(id, command.answer);
      limitBodies();
    }
    return { outcome: 'recorded' };
  };

  const release = (command: Extract<LedgerCommand, { type: 'release' }>): LedgerResult => {
    const id = keyOf(command);
    const existing = claims.get(id);
    if (existing?.attemptId !== command.attemptId || existing.answer) {
      return { outcome: 'unknown_claim' };
    }
    drop(id, existing);
    return { outcome: 'released' };
  };

  const expire = ({ beforeMs }: Extract<LedgerCommand, { type: 'expire' }>): LedgerResult => {
    claims.forEach((kept, id) => {
      if (kept.atMs < beforeMs) {
        drop(id, kept);
      }
    });
    return { outcome: 'expired' };
  };

  const handlers: {
    [Type in LedgerCommand['type']]: (
      command: Extract<LedgerCommand, { type: Type }>,
    ) => LedgerResult;
  } = { claim, complete, release, expire };

  const snapshot = (): Uint8Array => {
    const content: Snapshot = {
      claims: [...claims].map(([id, { answer, ...kept }]) => [
        id,
        answer ? { ...kept, answer: toWire(answer) } : kept,
      ]),
      // The order matters: a replica that restored a snapshot has to drop the same bodies as
      // others.
      withBody: [...withBody],
    };
    return encodeText(JSON.stringify(content));
  };

  const restore = (data: Uint8Array) => {
    const content: Snapshot =
      data.length === 0 ? { claims: [], withBody: [] } : (JSON.parse(decodeText(data)) as Snapshot);
    claims = new Map(
      content.claims.map(([id, { answer, ...kept }]) => [
        id,
        answer ? { ...kept, answer: fromWire(answer) } : kept,
      ]),
    );
    bodyBytes = 0;
    withBody.clear();
    content.withBody.forEach((id) => addBody(id, claims.get(id)!.answer!));
  };

  return {
    machine: {
      apply: ({ payload }) => {
        const command = decodeLedgerCommand(payload);
        const handle = handlers[command.type] as (handled: LedgerCommand) => LedgerResult;
        return handle(command);
      },
      snapshot,
      restore,
    },
    queries: {
      size: () => claims.size,
      bodyBytes: () => bodyBytes,
      oldestAtMs: () => claims.values().next().value?.atMs,
    },
  };
};
