/**
 * Service for the queries of operators. Only a leader that a quorum has just confirmed answers
 * them; any other instance returns the address of the leader.
 */
import type { ConnectRouter } from '@connectrpc/connect';
import type {
  ConfigurationHistory,
  AppliedChange,
  ChangeRecord,
} from '../../core/agreement/configurationHistory.js';
import { attachedDataCentres } from '../../core/distribution/attachment.js';
import { explainPolicy, classesOfService } from '../../core/operators/policy.js';
import { compareVersions, noVersion } from '../../core/agreement/version.js';
import { OperatorQueries } from '../../gen/auburnsill/v1/operator_pb.js';
import type { LaggingNode, FleetStatus, Member, ReplicaGroup } from '../../types/internal.js';
import type { Endpoint } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import { fromWireVersion, toWireVersion } from '../wireVersion.js';

const defaultHistoryLength = 20;
const maxHistoryLength = 1_000;

export interface OperatorQueriesOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly fleet: FleetStatus;
  /** Time from acceptance of the current version until all proxies serve it; 0 until they do. */
  readonly convergedMs: () => number;
}

const toHistoryItem = ({ changeId, operator, note, decidedAtMs, result }: ChangeRecord) => ({
  version: toWireVersion(result.version),
  changeId,
  operator,
  note,
  acceptedAtMs: BigInt(Math.round(decidedAtMs)),
  outcome: result.outcome,
});

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

const toService = (name: string, endpoints: readonly Endpoint[]) => ({
  name,
  endpoints: endpoints.length,
  slots: sum(endpoints.map(({ slots }) => slots)),
  leaving: endpoints.filter(({ state }) => state === 'leaving').length,
});

/** Adds the service `OperatorQueries` to a router. */
export const createOperatorQueries = ({
  group,
  history,
  fleet,
  convergedMs,
}: OperatorQueriesOptions) => {
  const leaderAddress = (): string => group.queries.leader()?.address ?? '';

  /** Returns the result of `read` once the leadership is confirmed, otherwise `not_leader`. */
  const readAsLeader = async <Answer extends object>(read: () => Answer) => {
    try {
      await group.queries.confirmRead();
    } catch (error) {
      if (error instanceof Failure && error.reason === 'not_leader') {
        return { outcome: 'not_leader', leaderAddress: leaderAddress() };
      }
      throw error;
    }
    return { outcome: 'ok', leaderAddress: leaderAddress(), ...read() };
  };

  const headVersion = () => history.queries.head()?.version ?? noVersion;

  const roleOf = ({ name, kind }: Member): string => {
    if (kind === 'learner') {
      return 'learner';
    }
    return group.queries.leader()?.name === name ? 'leader' : 'follower';
  };

  const toMember = (member: Member) => ({
    name: member.name,
    address: member.address,
    dataCentre: member.dataCentre,
    role: roleOf(member),
    matchIndex: BigInt(group.queries.matchIndex(member.name)),
    incarnation: member.incarnation,
  });

  const toLaggard = ({ name, version, reason }: LaggingNode) => ({
    name,
    version: toWireVersion(version),
    reason,
  });

  const currentlyAttached = () =>
    attachedDataCentres({
      members: group.queries.members(),
      contactAgeMs: group.queries.contactAgeMs,
      servedDataCentres: fleet.servedDataCentres,
    });

  const toDataCentre = (name: string, attached: ReadonlySet<string>) => {
    const members = group.queries.members().filter(({ dataCentre }) => dataCentre === name);
    const counts = fleet.counts().filter(({ dataCentre }) => dataCentre === name);
    const inForce = counts.filter(({ version }) => compareVersions(version, headVersion()) === 0);
    const agesMs = members.map((member) => group.queries.contactAgeMs(member.name));
    const ageMs = Math.min(...agesMs, Number.MAX_SAFE_INTEGER);
    return {
      name,
      region: members[0]?.region ?? '',
      control: members.map((member) => member.name).join(', '),
      attached: attached.has(name),
      nodes: sum(counts.map(({ nodes }) => nodes)),
      nodesInForce: sum(inForce.map(({ nodes }) => nodes)),
      laggards: fleet
        .laggards()
        .filter(({ dataCentre }) => dataCentre === name)
        .map(toLaggard),
      confirmedAgeMs: BigInt(Math.round(ageMs)),
    };
  };

  const dataCentreNames = (): string[] => {
    const memberDataCentres = group.queries.members().map(({ dataCentre }) => dataCentre);
    const nodeDataCentres = fleet.counts().map(({ dataCentre }) => dataCentre);
    return [...new Set([...memberDataCentres, ...nodeDataCentres])].sort();
  };

  const status = () => ({
    version: toWireVersion(headVersion()),
    dataCentres: dataCentreNames().map((name) => toDataCentre(name, currentlyAttached())),
    members: group.queries.settledMembers().map(toMember),
    services: [...fleet.inventory().clusters.values()].map(({ service, endpoints }) =>
      toService(service, endpoints),
    ),
    convergedMs: BigInt(Math.round(convergedMs())),
  });

  const explain = (className: string) => {
    const stored = history.queries.head();
    const trafficClass = stored?.configuration.classes[className];
    if (!stored || !trafficClass) {
      return { outcome: 'not_found' };
    }
    const cluster = fleet.inventory().clusters.get(trafficClass.service);
    return {
      version: toWireVersion(stored.version),
      lines: explainPolicy(
        trafficClass,
        cluster,
        classesOfService(stored.configuration, trafficClass),
      ),
    };
  };

  const readHistory = (limit: number, changeId: string) => {
    if (changeId === '') {
      const length = Math.min(limit || defaultHistoryLength, maxHistoryLength);
      return { items: history.queries.history(length).map(toHistoryItem) };
    }
    const record = history.queries.record(changeId);
    return record ? { items: [toHistoryItem(record)] } : { outcome: 'not_found' };
  };

  return (router: ConnectRouter): void => {
    router.service(OperatorQueries, {
      get: ({ version }) =>
        readAsLeader(() => {
          const stored = version
            ? history.queries.at(fromWireVersion(version))
            : history.queries.head();
          return stored
            ? { version: toWireVersion(stored.version), targets: stored.targets }
            : { outcome: 'not_found' };
        }),
      history: ({ limit, changeId }) => readAsLeader(() => readHistory(limit, changeId)),
      status: () => readAsLeader(status),
      explain: ({ className }) => readAsLeader(() => explain(className)),
    });
  };
};
