/**
 * The error class `Failure` and the table of error codes. Codes are stable: operators and callers
 * may match on them. `run` says whether the failed call or change can have taken effect.
 */
import type { RunState } from '../types/public.js';

interface FailureKind {
  readonly code: string;
  /** HTTP status that callers receive. */
  readonly status: number;
  readonly run: RunState;
  readonly text: string;
}

/** All failures by reason. Codes are grouped: E1xx settings and input, E2xx control, E3xx calls. */
export const failureTable = {
  invalid_settings: { code: 'E101', status: 400, run: 'not_run', text: 'invalid settings' },
  invalid_targets: { code: 'E102', status: 400, run: 'not_run', text: 'invalid targets' },
  folder_locked: { code: 'E103', status: 500, run: 'not_run', text: 'data folder is in use' },
  folder_foreign: {
    code: 'E104',
    status: 500,
    run: 'not_run',
    text: 'data folder belongs to another instance or format',
  },
  folder_damaged: { code: 'E105', status: 500, run: 'not_run', text: 'data folder is damaged' },
  storage_failed: { code: 'E106', status: 500, run: 'may_have_run', text: 'storage failed' },
  address_in_use: { code: 'E107', status: 500, run: 'not_run', text: 'address is in use' },
  storage_full: { code: 'E108', status: 503, run: 'not_run', text: 'the disk is full' },
  not_leader: { code: 'E201', status: 503, run: 'not_run', text: 'instance is not the leader' },
  no_quorum: { code: 'E202', status: 503, run: 'not_run', text: 'no quorum' },
  version_conflict: {
    code: 'E203',
    status: 409,
    run: 'not_run',
    text: 'the configuration changed since the version that the change is based on',
  },
  change_id_reused: {
    code: 'E204',
    status: 409,
    run: 'not_run',
    text: 'the change id was used for another change',
  },
  data_centre_detached: {
    code: 'E205',
    status: 503,
    run: 'not_run',
    text: 'a data centre is not attached',
  },
  outcome_unknown: { code: 'E206', status: 504, run: 'may_have_run', text: 'outcome is unknown' },
  unauthorized: { code: 'E207', status: 401, run: 'not_run', text: 'missing or wrong token' },
  change_too_large: { code: 'E208', status: 413, run: 'not_run', text: 'change is too large' },
  bad_update: { code: 'E209', status: 500, run: 'not_run', text: 'update failed its check' },
  malformed_message: { code: 'E210', status: 400, run: 'not_run', text: 'malformed message' },
  rollout_running: {
    code: 'E211',
    status: 409,
    run: 'not_run',
    text: 'another rollout of the service is running',
  },
  foreign_report: {
    code: 'E212',
    status: 409,
    run: 'not_run',
    text: 'the report is not about the upstream of this node',
  },
  superseded_report: {
    code: 'E213',
    status: 409,
    run: 'not_run',
    text: 'the report is superseded by a newer one',
  },
  unknown_class: { code: 'E301', status: 404, run: 'not_run', text: 'no class matches the call' },
  no_configuration: {
    code: 'E302',
    status: 503,
    run: 'not_run',
    text: 'the node holds no configuration yet',
  },
  unconfirmed: {
    code: 'E318',
    status: 503,
    run: 'not_run',
    text: 'the call cannot be judged, since the node may be out of date',
  },
  no_upstream: { code: 'E303', status: 503, run: 'not_run', text: 'no endpoint is available' },
  deadline_exceeded: {
    code: 'E304',
    status: 504,
    run: 'may_have_run',
    text: 'the deadline passed after the call was sent',
  },
  deadline_past: {
    code: 'E305',
    status: 504,
    run: 'not_run',
    text: 'the deadline passed before the call was sent',
  },
  overloaded: { code: 'E306', status: 503, run: 'not_run', text: 'no capacity for this class' },
  leaving: { code: 'E307', status: 503, run: 'not_run', text: 'the upstream is leaving' },
  key_required: {
    code: 'E308',
    status: 400,
    run: 'not_run',
    text: 'the class needs an idempotency-key header',
  },
  key_in_progress: {
    code: 'E309',
    status: 409,
    run: 'may_have_run',
    text: 'a call with this key was sent and its outcome is not recorded',
  },
  key_mismatch: {
    code: 'E310',
    status: 422,
    run: 'not_run',
    text: 'the key was used for another request',
  },
  ledger_unavailable: {
    code: 'E311',
    status: 503,
    run: 'not_run',
    text: 'the at-most-once ledger cannot be reached',
  },
  upstream_failed: {
    code: 'E312',
    status: 502,
    run: 'may_have_run',
    text: 'the connection failed after the call was sent',
  },
  upstream_unreachable: {
    code: 'E313',
    status: 503,
    run: 'not_run',
    text: 'no connection to the upstream',
  },
  unauthenticated_caller: {
    code: 'E319',
    status: 401,
    run: 'not_run',
    text: 'the call carries no known API key',
  },
  quota_exceeded: {
    code: 'E320',
    status: 429,
    run: 'not_run',
    text: 'the tenant exceeds its rate',
  },
  quota_unavailable: {
    code: 'E321',
    status: 503,
    run: 'not_run',
    text: "no owner of the tenant's rate can be reached",
  },
  bad_request: { code: 'E314', status: 400, run: 'not_run', text: 'malformed request' },
  body_too_large: { code: 'E317', status: 413, run: 'not_run', text: 'the body is too large' },
  cancelled: { code: 'E315', status: 499, run: 'may_have_run', text: 'the caller cancelled' },
  answer_mismatch: {
    code: 'E316',
    status: 502,
    run: 'may_have_run',
    text: 'the answer belongs to another call',
  },
} as const satisfies Record<string, FailureKind>;

/** Reason of a failure: a key of `failureTable`. */
export type FailureReason = keyof typeof failureTable;

/** An error with a stable code and reason. */
export class Failure extends Error {
  readonly reason: FailureReason;

  readonly code: string;

  readonly status: number;

  readonly run: RunState;

  constructor(
    reason: FailureReason,
    detail?: string,
    options?: { run?: RunState; cause?: unknown },
  ) {
    const kind: FailureKind = failureTable[reason];
    super(detail ? `${kind.text}: ${detail}` : kind.text, { cause: options?.cause });
    this.name = 'Failure';
    this.reason = reason;
    this.code = kind.code;
    this.status = kind.status;
    this.run = options?.run ?? kind.run;
  }
}
