/**
 * Service for the commands of operators: changes of the configuration, drains and membership
 * changes. Every response states whether the change may have taken effect; a change is reported as
 * refused only if it did not.
 */
import type { ConnectRouter } from '@connectrpc/connect';
import PQueue from 'p-queue';
import {
  encodeChange,
  encodeDrain,
  maxDrains,
  type ConfigurationHistory,
  type AppliedChange,
  type Change,
  type ChangeResult,
  type RefusalCause,
} from '../../core/agreement/configurationHistory.js';
import { classifyDataCentres, type Attachment } from '../../core/distribution/attachment.js';
import { checkConfiguration, diffLines, parseTargets } from '../../core/operators/configuration.js';
import { formatVersion } from '../../core/agreement/version.js';
import {
  OperatorCommands,
  type ApplyRequest,
  type ChangeMembersRequest,
  type DrainRequest,
} from '../../gen/auburnsill/v1/operator_pb.js';
import type { FleetStatus, Member, ReplicaGroup } from '../../types/internal.js';
import type { Configuration, Finding, RunState, Version } from '../../types/public.js';
import { Failure, failureTable } from '../../utils/failure.js';
import { formatFinding } from '../../utils/findings.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { operatorOf } from './access.js';
import { fromWireVersion, toWireVersion } from '../wireVersion.js';

const maxChangeIdLength = 128;
const maxNoteLength = 1_024;
/** Maximum number of queued changes; a further one is refused without being checked. */
const maxQueuedChanges = 100;

const emptyConfiguration: Configuration = { services: {}, classes: {} };

export interface OperatorCommandsOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly fleet: FleetStatus;
  readonly timer: Timer;
  readonly log: Log;
  /** Requests the incarnation of the data folder from the process at the address. */
  readonly fetchIncarnation: (address: string) => Promise<string>;
}

interface Answer {
  readonly outcome: string;
  readonly run: RunState;
  readonly version?: Version;
  readonly findings?: readonly Finding[];
  readonly difference?: readonly string[];
  readonly replayed?: boolean;
}

const refusalFinding = (reason: keyof typeof failureTable, detail: string): Finding => ({
  place: reason,
  message: `${failureTable[reason].text}${detail === '' ? '' : `: ${detail}`}`,
});

const refuse = (findings: readonly Finding[], more: Partial<Answer> = {}): Answer => ({
  outcome: 'refused',
  run: 'not_run',
  findings,
  ...more,
});

const conflictDetail = (version: Version): string =>
  `the current version is ${formatVersion(version)}`;

const refusalDetails: Record<RefusalCause, (version: Version) => string> = {
  version_conflict: conflictDetail,
  change_id_reused: () => '',
  malformed_message: () => '',
  no_configuration: () => '',
  rollout_running: () => '',
  change_too_large: () => `${maxDrains} endpoints at most are drained at a time`,
};

const toAnswer = ({ result, replayed }: { result: ChangeResult; replayed: boolean }): Answer => {
  if (result.outcome === 'refused') {
    const { reason, version } = result;
    const detail = refusalDetails[reason](version);
    return refuse([refusalFinding(reason, detail)], { version, replayed });
  }
  // An accepted change is in force or being distributed, so it did run.
  const run = result.outcome === 'accepted' ? 'may_have_run' : 'not_run';
  return { outcome: result.outcome, run, version: result.version, replayed };
};

const checkRequest = ({
  changeId,
  note,
  fileName,
}: Pick<ApplyRequest, 'changeId' | 'note' | 'fileName'>): Finding[] => {
  const findings: Finding[] = [];
  if (!/^[\x21-\x7e]+$/.test(changeId) || changeId.length > maxChangeIdLength) {
    const allowed = `1 to ${maxChangeIdLength} printable characters without space`;
    findings.push({ place: 'change id', message: 'invalid value', found: changeId, allowed });
  }
  if (note.length > maxNoteLength || fileName.length > maxNoteLength) {
    const allowed = `${maxNoteLength} characters at most`;
    findings.push({ place: 'note and file name', message: 'too long', allowed });
  }
  return findings;
};

const isNotLeader = (error: unknown): boolean =>
  error instanceof Failure && error.reason === 'not_leader';

/** Adds the service `OperatorCommands` to a router. */
export const createOperatorCommands = ({
  group,
  history,
  fleet,
  timer,
  log,
  fetchIncarnation,
}: OperatorCommandsOptions) => {
  // Changes run one at a time: each is checked against the state after the previous one.
  const queue = new PQueue({ concurrency: 1 });

  const leaderAddress = (): string => group.queries.leader()?.address ?? '';

  const classifyAttachment = (): Attachment =>
    classifyDataCentres({
      members: group.queries.members(),
      contactAgeMs: group.queries.contactAgeMs,
      servedDataCentres: fleet.servedDataCentres,
    });

  const toChange = (request: ApplyRequest, operator: string): Change => ({
    changeId: request.changeId,
    baseVersion: fromWireVersion(request.baseVersion),
    targets: request.targets,
    fileName: request.fileName,
    operator,
    note: request.note,
    proposedAtMs: timer.wallClock(),
  });

  const proposeChange = async (change: Change, configuration: Configuration): Promise<Answer> => {
    try {
      const { result } = await group.commands.propose(encodeChange(change, configuration));
      return toAnswer(result);
    } catch (error) {
      if (error instanceof Failure && error.reason === 'outcome_unknown') {
        const detail = `look it up in the history by change id ${change.changeId}`;
        const findings = [refusalFinding('outcome_unknown', detail)];
        return { outcome: 'unknown', run: 'may_have_run', findings };
      }
      if (error instanceof Failure && !isNotLeader(error)) {
        return refuse([refusalFinding(error.reason, error.message)]);
      }
      throw error;
    }
  };

  const refuseDetached = (allowed: readonly string[], { detached }: Attachment) => {
    const notAllowed = detached.filter((name) => !allowed.includes(name));
    return notAllowed.length === 0
      ? undefined
      : refuse([refusalFinding('data_centre_detached', notAllowed.join(', '))]);
  };

  const checkAndPropose = async (
    request: ApplyRequest,
    operator: string,
    attachment: Attachment,
  ): Promise<Answer> => {
    const change = toChange(request, operator);
    const prechecked = history.queries.precheck(change);
    if (prechecked) {
      return toAnswer(prechecked);
    }
    const { configuration, findings } = parseTargets(change.targets, change.fileName || 'targets');
    if (!configuration) {
      return refuse(findings);
    }
    const base = history.queries.head()?.configuration ?? emptyConfiguration;
    const difference = diffLines(base, configuration);
    const checked = checkConfiguration(configuration, fleet.inventory(), base);
    if (checked.length > 0) {
      return refuse(checked, { difference });
    }
    const refusal = refuseDetached(request.allowDetached, attachment);
    if (refusal) {
      return { ...refusal, difference };
    }
    if (request.dryRun) {
      return { outcome: 'dry_run', run: 'not_run', difference };
    }
    return { ...(await proposeChange(change, configuration)), difference };
  };

  const apply = async (request: ApplyRequest, operator: string): Promise<Answer> => {
    const findings = checkRequest(request);
    if (findings.length > 0) {
      return refuse(findings);
    }
    try {
      // Ensures that the change is checked on the latest state, and not by a deposed leader.
      await group.queries.confirmRead();
      return await checkAndPropose(request, operator, classifyAttachment());
    } catch (error) {
      if (isNotLeader(error)) {
        return { outcome: 'not_leader', run: 'not_run' };
      }
      throw error;
    }
  };

  const toMember = async (request: ChangeMembersRequest): Promise<Member> => {
    const { member: name, address, dataCentre, region } = request;
    const incarnation =
      request.incarnation === '' && request.action === 'add'
        ? await fetchIncarnation(address)
        : request.incarnation;
    return { name, address, dataCentre, region, incarnation, kind: 'learner' };
  };

  const changeMembers = async (request: ChangeMembersRequest) => {
    const { action, member } = request;
    if (action !== 'add' && action !== 'remove') {
      return { outcome: 'refused', message: `unknown action "${action}"` };
    }
    if (group.queries.role() !== 'leader') {
      return { outcome: 'not_leader', message: '' };
    }
    try {
      await group.commands.changeMembers({ action, member: await toMember(request) });
      log.info('membership changed', { action, member });
      return { outcome: 'accepted', message: '' };
    } catch (error) {
      if (!(error instanceof Failure)) {
        return { outcome: 'refused', message: String(error) };
      }
      if (isNotLeader(error)) {
        return { outcome: 'not_leader', message: '' };
      }
      const outcome = error.run === 'not_run' ? 'refused' : 'unknown';
      return { outcome, message: error.message };
    }
  };

  /** Returns why a drain is refused: no service may lose its last endpoint in use. */
  const findDrainRefusal = ({ endpointId, undo }: DrainRequest): string | undefined => {
    const clusters = [...fleet.inventory().clusters.values()];
    const cluster = clusters.find(({ endpoints }) => endpoints.some(({ id }) => id === endpointId));
    if (undo) {
      return undefined;
    }
    if (!cluster) {
      return `no endpoint ${JSON.stringify(endpointId)} is announced`;
    }
    const drains = history.queries.head()?.configuration.drains ?? {};
    const isOtherInUse = cluster.endpoints.some(
      ({ id, state }) => id !== endpointId && state === 'ready' && !Object.hasOwn(drains, id),
    );
    return isOtherInUse ? undefined : `${cluster.service} would have no endpoint in use`;
  };

  const proposeDrain = async (request: DrainRequest, operator: string) => {
    const { changeId, endpointId, undo } = request;
    const proposedAtMs = timer.wallClock();
    const payload = encodeDrain({ changeId, endpointId, undo, operator, proposedAtMs });
    const { result } = await group.commands.propose(payload);
    const answer = toAnswer(result);
    const message = (answer.findings ?? []).map((finding) => finding.message).join('; ');
    return {
      outcome: answer.outcome,
      message,
      version: answer.version && toWireVersion(answer.version),
    };
  };

  const drain = async (request: DrainRequest, operator: string) => {
    const invalid = checkRequest({ ...request, note: '', fileName: request.endpointId });
    if (invalid.length > 0) {
      return { outcome: 'refused', message: invalid.map(formatFinding).join('; ') };
    }
    try {
      await group.queries.confirmRead();
      const replayed = history.queries.record(request.changeId) !== undefined;
      const refusal = replayed ? undefined : findDrainRefusal(request);
      return refusal === undefined
        ? await proposeDrain(request, operator)
        : { outcome: 'refused', message: refusal };
    } catch (error) {
      if (isNotLeader(error)) {
        return { outcome: 'not_leader', message: '' };
      }
      if (error instanceof Failure) {
        const outcome = error.run === 'not_run' ? 'refused' : 'unknown';
        return { outcome, message: error.message };
      }
      throw error;
    }
  };

  return (router: ConnectRouter): void => {
    router.service(OperatorCommands, {
      apply: async (request, { requestHeader }) => {
        const operator = operatorOf(requestHeader);
        const attachment = classifyAttachment();
        const answer =
          queue.size < maxQueuedChanges
            ? await queue.add(() => apply(request, operator))
            : refuse([refusalFinding('overloaded', 'too many changes are queued')]);
        log.info('change decided', {
          changeId: request.changeId,
          operator,
          outcome: answer.outcome,
          version: answer.version && formatVersion(answer.version),
        });
        return {
          outcome: answer.outcome,
          run: answer.run,
          version: answer.version && toWireVersion(answer.version),
          findings: [...(answer.findings ?? [])],
          leaderAddress: leaderAddress(),
          difference: [...(answer.difference ?? [])],
          dataCentresAttached: [...attachment.attached],
          dataCentresDetached: [...attachment.detached],
          replayed: answer.replayed ?? false,
        };
      },
      drain: async (request, { requestHeader }) => {
        const operator = operatorOf(requestHeader);
        const answer =
          queue.size < maxQueuedChanges
            ? await queue.add(() => drain(request, operator))
            : { outcome: 'refused', message: 'too many changes are queued' };
        const { changeId, endpointId, undo } = request;
        log.info('drain decided', {
          changeId,
          operator,
          endpointId,
          undo,
          outcome: answer.outcome,
        });
        return { ...answer, leaderAddress: leaderAddress() };
      },
      changeMembers: async (request) => ({
        ...(await changeMembers(request)),
        leaderAddress: leaderAddress(),
      }),
    });
  };
};
