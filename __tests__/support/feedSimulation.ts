/**
 * A fleet of control instances and nodes on one manual timer. The choice of parents, the admission
 * of children and the loop that keeps a node attached are those of the product; connections,
 * processes and their faults are simulated.
 */
import { createChildAdmission } from '../../src/core/distribution/childAdmission.js';
import { createFreshness } from '../../src/core/distribution/freshness.js';
import { createParentChoice } from '../../src/core/distribution/parentChoice.js';
import type { ParentHeartbeat } from '../../src/core/distribution/parentHealth.js';
import type {
  FeedLink,
  LinkOutcome,
  ProbeResult,
} from '../../src/plugins/distribution/feedClient.js';
import { createParentLoop, type ParentLoop } from '../../src/plugins/distribution/parentLoop.js';
import { createSilentLog } from '../../src/utils/log.js';
import { createManualTimer } from '../../src/utils/timer.js';
import { createRandom } from './routingFixtures.js';

const latencyMs = 2;
const heartbeatMs = 500;
/** Time for which a node collects changes before it reports them. */
const reportMs = 100;
const stepMs = 10;
/** Limits of the real feed client. */
const welcomeTimeoutMs = 1_000;
const silenceTimeoutMs = 1_500;
const silenceCheckMs = 250;
/** Time that a node takes from its start to its first attempt to attach. */
const startMs = 300;

/** `silent`: neither reads nor sends, as a frozen machine. `ended`: nothing listens. */
type ProcessState = 'running' | 'silent' | 'ended';

interface Subscription {
  readonly child: SimulatedProcess;
  /** Version that the child has reported. */
  reportedVersion: number;
  receiveHeartbeat(heartbeat: ParentHeartbeat): void;
  receiveVersion(index: number): void;
  end(reason: string): void;
}

export interface SimulatedProcess {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly isControl: boolean;
  state: ProcessState;
  /** Delay of all that the process reads and sends, as by an event loop that is behind. */
  lagMs: number;
  /** Last time at which the process started, or stopped being silent or late. */
  undisturbedSince: number;
  version: number;
  /** Versions at the last two heartbeats: the one that children report by now, and the newest. */
  settledVersion: number;
  lastVersion: number;
  /** Number of the process's start, so that messages to an earlier one are dropped. */
  life: number;
  subscriptions: Map<string, Subscription>;
  admission: ReturnType<typeof createChildAdmission>;
  loop: ParentLoop | undefined;
  heartbeat(): ParentHeartbeat;
}

export interface FleetOptions {
  readonly seed: number;
  readonly dataCentres: readonly string[];
  readonly nodesPerDataCentre: number;
}

const versionOf = (index: number) => ({ term: 1, index });

/** Resolves after the callbacks of all promises that are settled so far have run. */
const flushPromises = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const lost = (
  reason: string,
  flags: { attached?: boolean; isRefused?: boolean; isSilent?: boolean } = {},
): LinkOutcome => ({
  outcome: 'lost',
  reason,
  attached: false,
  isRefused: false,
  isSilent: false,
  ...flags,
});

export const createSimulatedFleet = ({ seed, dataCentres, nodesPerDataCentre }: FleetOptions) => {
  const timer = createManualTimer();
  const random = createRandom(seed);
  const processes = new Map<string, SimulatedProcess>();
  const committedAt: number[] = [0];

  const controlAddresses = dataCentres.map((dataCentre) => ({
    address: `control-${dataCentre}:1`,
    dataCentre,
  }));

  /** Runs an action of a process after a delay, unless the process has ended meanwhile. */
  const actLater = (process: SimulatedProcess, delayMs: number, action: () => void) => {
    const { life } = process;
    timer.after(delayMs, () => {
      if (process.state === 'running' && process.life === life) {
        action();
      }
    });
  };

  const sendHeartbeats = (process: SimulatedProcess) => {
    if (process.state === 'running') {
      const heartbeat = process.heartbeat();
      process.subscriptions.forEach((subscription) => subscription.receiveHeartbeat(heartbeat));
    }
  };

  /** Reports the version of a node to its parent, which processes the report some time later. */
  const report = (node: SimulatedProcess) => {
    const parent = processes.get(node.loop?.link()?.address ?? '');
    const subscription = parent?.subscriptions.get(node.name);
    const index = node.version;
    if (parent && subscription) {
      actLater(parent, reportMs + latencyMs + node.lagMs + parent.lagMs, () => {
        subscription.reportedVersion = Math.max(subscription.reportedVersion, index);
      });
    }
  };

  const publish = (process: SimulatedProcess, index: number) => {
    if (index > process.version) {
      process.version = index;
      report(process);
      process.subscriptions.forEach((subscription) => subscription.receiveVersion(index));
    }
  };

  const countNodes = (process: SimulatedProcess): number =>
    1 + [...process.subscriptions.values()].reduce((sum, { child }) => sum + countNodes(child), 0);

  const admit = (parent: SimulatedProcess, child: SimulatedProcess) =>
    parent.admission.commands.admitChild(
      { name: child.name, address: child.address, role: 'node' },
      {
        path: parent.heartbeat().path,
        canFeed: parent.version > 0 || parent.heartbeat().rootDataCentre !== '',
        countNodes: (name) => countNodes(processes.get(`${name}:1`) ?? child),
        isBehind: (name) =>
          (parent.subscriptions.get(name)?.reportedVersion ?? 0) < parent.settledVersion,
      },
      timer.now(),
    );

  const createLink = (child: SimulatedProcess, address: string): FeedLink => {
    let finish: (outcome: LinkOutcome) => void = () => undefined;
    let isOver = false;
    let isAttached = false;
    let heardAt = timer.now();
    let subscription: Subscription | undefined;

    const receive = (parent: SimulatedProcess, action: () => void) =>
      actLater(child, latencyMs + parent.lagMs + child.lagMs, () => {
        if (!isOver) {
          heardAt = timer.now();
          action();
        }
      });

    const subscribe = (parent: SimulatedProcess): Subscription => {
      parent.subscriptions.get(child.name)?.end('replaced by a newer subscription');
      const created: Subscription = {
        child,
        reportedVersion: child.version,
        receiveHeartbeat: (heartbeat) =>
          receive(parent, () => {
            if (child.loop?.offer(link, heartbeat)) {
              child.loop.receiveHeartbeat(heartbeat);
            }
          }),
        receiveVersion: (index) =>
          receive(parent, () => {
            if (child.loop?.link() === link) {
              publish(child, index);
            }
          }),
        end: (reason) => receive(parent, () => finish(lost(reason, { attached: true }))),
      };
      parent.subscriptions.set(child.name, created);
      return created;
    };

    const connect = (parent: SimulatedProcess) => {
      const decision = admit(parent, child);
      if (decision.outcome === 'redirected') {
        receive(parent, () => finish(decision));
        return;
      }
      subscription = subscribe(parent);
      receive(parent, () => {
        isAttached = true;
      });
      subscription.receiveHeartbeat(parent.heartbeat());
      if (parent.version > child.version) {
        subscription.receiveVersion(parent.version);
      }
    };

    const run = () =>
      new Promise<LinkOutcome>((resolve) => {
        heardAt = timer.now();
        const parent = processes.get(address);
        const cancelSilence = timer.every(silenceCheckMs, () => {
          const limitMs = isAttached ? silenceTimeoutMs : welcomeTimeoutMs;
          if (timer.now() - heardAt > limitMs) {
            finish(lost('silent', { attached: isAttached, isSilent: true }));
          }
        });
        finish = (outcome) => {
          if (isOver) {
            return;
          }
          isOver = true;
          cancelSilence();
          if (parent && subscription && parent.subscriptions.get(child.name) === subscription) {
            parent.subscriptions.delete(child.name);
            parent.admission.commands.release(child.name);
          }
          resolve(outcome);
        };
        if (!parent || parent.state === 'ended') {
          timer.after(latencyMs, () => finish(lost('ECONNREFUSED', { isRefused: true })));
          return;
        }
        actLater(parent, latencyMs + child.lagMs + parent.lagMs, () => connect(parent));
      });

    const link: FeedLink = {
      address,
      run,
      scheduleReport: () => undefined,
      change: () => undefined,
      end: (reason) => finish(lost(reason, { attached: isAttached })),
    };
    return link;
  };

  const probe = async (
    child: SimulatedProcess,
    address: string,
  ): Promise<ProbeResult | undefined> => {
    const parent = processes.get(address);
    if (!parent || parent.state === 'ended') {
      await timer.sleep(latencyMs);
      return undefined;
    }
    const roundTripMs = 2 * (latencyMs + child.lagMs + parent.lagMs);
    await timer.sleep(Math.min(welcomeTimeoutMs, roundTripMs));
    if (parent.state !== 'running' || roundTripMs > welcomeTimeoutMs) {
      await timer.sleep(Math.max(0, welcomeTimeoutMs - roundTripMs));
      return undefined;
    }
    const { headVersion, confirmedAgeMs, path, rootDataCentre } = parent.heartbeat();
    const heartbeat = {
      headVersion: { term: BigInt(headVersion.term), index: BigInt(headVersion.index) },
      confirmedAgeMs: BigInt(confirmedAgeMs),
      path,
      rootDataCentre,
    };
    return { address, heartbeat } as unknown as ProbeResult;
  };

  const createProcess = (name: string, dataCentre: string, isControl: boolean) => {
    const process: SimulatedProcess = {
      name,
      address: `${name}:1`,
      dataCentre,
      isControl,
      state: 'running',
      lagMs: 0,
      undisturbedSince: 0,
      version: 0,
      settledVersion: 0,
      lastVersion: 0,
      life: 0,
      subscriptions: new Map(),
      admission: createChildAdmission(0),
      loop: undefined,
      heartbeat: () => ({
        headVersion: versionOf(process.version),
        confirmedAgeMs: 0,
        path: [name],
        rootDataCentre: dataCentre,
      }),
    };
    processes.set(process.address, process);
    timer.every(heartbeatMs, () => {
      sendHeartbeats(process);
      process.settledVersion = process.lastVersion;
      process.lastVersion = process.version;
    });
    return process;
  };

  /** Starts a node, or starts it again without what it had received. */
  const startNode = (node: SimulatedProcess) => {
    const freshness = createFreshness();
    node.life += 1;
    node.state = 'running';
    node.lagMs = 0;
    node.version = 0;
    node.settledVersion = 0;
    node.lastVersion = 0;
    node.undisturbedSince = timer.now();
    node.subscriptions = new Map();
    node.admission = createChildAdmission(timer.now());
    const choice = createParentChoice({
      dataCentre: node.dataCentre,
      ownAddress: node.address,
      controls: controlAddresses,
      peers: [],
      random,
    });
    const loop = createParentLoop({
      name: node.name,
      dataCentre: node.dataCentre,
      choice,
      timer,
      log: createSilentLog(),
      random,
      newest: () => versionOf(node.version),
      createLink: (address) => createLink(node, address),
      probe: (address) => probe(node, address),
      pathChanged: () => sendHeartbeats(node),
    });
    const receiveHeartbeat: ParentLoop['receiveHeartbeat'] = (heartbeat) => {
      if (heartbeat.headVersion.index <= node.version) {
        freshness.commands.confirm(heartbeat.confirmedAgeMs, timer.now());
      }
      loop.receiveHeartbeat(heartbeat);
    };
    node.loop = { ...loop, receiveHeartbeat };
    node.heartbeat = () => ({
      headVersion: versionOf(node.version),
      confirmedAgeMs: freshness.queries.ageMs(timer.now()),
      path: loop.path(),
      rootDataCentre: loop.rootDataCentre(),
    });
    actLater(node, startMs, loop.start);
  };

  /** Ends a process: its children notice at once, and nothing listens at its address. */
  const end = (process: SimulatedProcess) => {
    process.subscriptions.forEach((subscription) =>
      subscription.end('the parent ended the stream'),
    );
    process.state = 'ended';
    process.life += 1;
    process.loop?.stop().catch(() => undefined);
    process.loop = undefined;
  };

  const silence = (process: SimulatedProcess, durationMs: number) => {
    process.state = 'silent';
    const { life } = process;
    timer.after(durationMs, () => {
      if (process.life === life && process.state === 'silent') {
        process.state = 'running';
        process.undisturbedSince = timer.now();
      }
    });
  };

  const delay = (process: SimulatedProcess, lagMs: number, durationMs: number) => {
    process.lagMs = lagMs;
    const { life } = process;
    timer.after(durationMs, () => {
      if (process.life === life) {
        process.lagMs = 0;
        process.undisturbedSince = timer.now();
      }
    });
  };

  const commit = () => {
    const index = committedAt.length;
    committedAt.push(timer.now());
    controls.forEach((control) => publish(control, index));
  };

  /** Time in ms for which the node, since its start, has lacked a version that was committed. */
  const behindMs = (node: SimulatedProcess): number => {
    const missingSince = committedAt[node.version + 1];
    return missingSince === undefined
      ? 0
      : timer.now() - Math.max(missingSince, node.undisturbedSince);
  };

  const advance = async (ms: number, observe: () => void = () => undefined) => {
    for (let passed = 0; passed < ms; passed += stepMs) {
      timer.advance(stepMs);
      await flushPromises();
      observe();
    }
  };

  const controls = dataCentres.map((dataCentre) =>
    createProcess(`control-${dataCentre}`, dataCentre, true),
  );
  const nodes = dataCentres.flatMap((dataCentre) =>
    Array.from({ length: nodesPerDataCentre }, (_, index) =>
      createProcess(`node-${dataCentre}-${index}`, dataCentre, false),
    ),
  );
  commit();
  nodes.forEach(startNode);

  return {
    timer,
    random,
    controls,
    nodes,
    startNode,
    end,
    silence,
    delay,
    commit,
    behindMs,
    advance,
    /** Starts committing a version every `periodMs`. */
    commitEvery: (periodMs: number) => timer.every(periodMs, commit),
  };
};
