/**
 * An endpoint deregisters, and the node that acknowledged it is killed and starts again. Two
 * check-ins that the endpoint had sent before it deregistered arrive seconds late, after that.
 * With TROUBLE=0 the node is not killed.
 */
import {
  bounds,
  createDocument,
  createRecorder,
  now,
  runCase,
  sleep,
  startDeployment,
} from '../support-2/deployment.js';
import { startEndpoint } from '../support-2/endpoint.js';
import { startTraffic } from '../support-2/traffic.js';

const hasTrouble = process.env.TROUBLE !== '0';
const service = 'orders';
/** The endpoint serves this long after the acknowledgement, then it exits. */
const servesAfterAckMs = 7_500;
/** Time after their sending at which the two late check-ins arrive, in ms. */
const lateMs = [4_500, 4_000] as const;

runCase(async () => {
  const recorder = createRecorder(process.argv[2]!);
  const deployment = await startDeployment({
    recorder,
    zones: [
      { name: 'a', services: [service, service, service] },
      { name: 'b', services: [service, service] },
      { name: 'c', services: [service, service] },
    ],
  });
  try {
    const endpoints = await Promise.all(
      deployment.nodes.map(async (machine, index) => {
        // The endpoint runs from the start, and its node listens a moment later.
        await sleep(1_500);
        return startEndpoint({ machine, id: `i-${index + 1}`, recorder });
      }),
    );
    const routes = [{ name: 'r-order', prefix: '/order/', kind: 'unsafe' as const, service }];
    const put = await deployment.put(JSON.stringify(createDocument(1, 0, routes, [service])));
    recorder.line(`configuration 1: ${put.status}`);
    await deployment.waitUntilReady();
    await sleep(4_000);
    const traffic = startTraffic({
      machines: deployment.nodes,
      perSecond: 120,
      method: 'POST',
      path: '/order/1',
      deadlineMs: 1_500,
      recorder,
    });
    await sleep(4_000);

    const [leaving] = endpoints;
    const [machine] = deployment.nodes;
    leaving!.stopBeats();
    const startedAt = now();
    const lateCheckIns = [leaving!.createCheckIn()];
    recorder.line('the endpoint sends a check-in that will be late');
    await sleep(bounds.heartbeatMs);
    lateCheckIns.push(leaving!.createCheckIn());
    recorder.line('the endpoint sends a second check-in that will be late');
    const secondAt = now();
    await sleep(100);
    const status = await leaving!.deregister();
    const ackedAt = now();
    recorder.line(`deregistration of ${leaving!.id} answered ${status}`);
    if (status !== 200) {
      throw new Error('the deregistration was not acknowledged');
    }
    await sleep(100);
    if (hasTrouble) {
      deployment.signal(machine!, 'SIGKILL');
    }
    await sleep(startedAt + lateMs[0] - now());
    recorder.line(`first late check-in: ${await leaving!.sendCheckIn(lateCheckIns[0]!)}`);
    await sleep(secondAt + lateMs[1] - now());
    recorder.line(`second late check-in: ${await leaving!.sendCheckIn(lateCheckIns[1]!)}`);
    await sleep(ackedAt + servesAfterAckMs - now());
    await leaving!.exit();
    await sleep(1_000);
    await traffic.stop();

    const inTouchSince = machine!.startedAt + bounds.stabilityMs;
    const late = leaving!.arrivals.filter(
      ({ at, hasRun }) => hasRun && at > ackedAt + bounds.drainMs,
    );
    const counted = late.filter(({ at }) => at > inTouchSince);
    const cut = new Set(counted.filter(({ isAnswered }) => !isAnswered).map(({ id }) => id));
    const lost = traffic.sent.filter(({ id, status: ended }) => cut.has(id) && ended !== 200);
    recorder.line(`acknowledged at ${ackedAt} ms; node in touch since ${inTouchSince} ms`);
    counted.forEach(({ id, at }) =>
      recorder.line(`${id} arrived at ${leaving!.id} ${at - ackedAt} ms after the acknowledgement`),
    );
    lost.forEach(({ id, status: ended }) =>
      recorder.line(`${id} was cut when the endpoint exited, and was answered ${ended}`),
    );
    const statuses = new Map<number, number>();
    traffic.sent.forEach(({ status: ended }) =>
      statuses.set(ended, (statuses.get(ended) ?? 0) + 1),
    );
    recorder.line(`sent ${traffic.sent.length}, answered ${JSON.stringify([...statuses])}`);
    recorder.line(
      `arrivals later than drain_ms: ${late.length}, ${counted.length} of them with both machines ` +
        `in touch, ${lost.length} lost at the exit`,
    );
    if (traffic.sent.filter(({ status: ended }) => ended === 200).length < 100) {
      throw new Error('the deployment did not serve');
    }
    return counted.length > 0;
  } finally {
    await deployment.stop();
  }
});
