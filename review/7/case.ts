/**
 * A control machine is replaced: the new one is added first, and the old one is removed without
 * SIGTERM later. Right after a change has been acknowledged, another one loses its disk. With
 * TROUBLE=0 that one keeps its disk.
 */
import {
  createDocument,
  createRecorder,
  now,
  runCase,
  sleep,
  startDeployment,
  type Deployment,
} from '../support-2/deployment.js';
import { startEndpoint } from '../support-2/endpoint.js';

const hasTrouble = process.env.TROUBLE !== '0';
const service = 'orders';
/** Time that the new machine has before the old one is removed: more than `catch_up_s`, in ms. */
const catchUpMs = 10_000;
/** Time between the removal and the loss of the disk, in ms. */
const untilLossMs = 1_000;
const downMs = 3_000;
const recoveryMs = 15_000;

const readVersion = async (deployment: Deployment, address: string) => {
  const first = await deployment.get(address);
  const read =
    first.status === 307
      ? await deployment.get(new URL(String(first.headers.location)).host)
      : first;
  return read.status === 200
    ? `version ${(JSON.parse(read.body) as { version: number }).version}`
    : `${read.status || read.error}`;
};

runCase(async () => {
  const recorder = createRecorder(process.argv[2]!);
  const deployment = await startDeployment({
    recorder,
    zones: ['a', 'b', 'c'].map((name) => ({ name, services: [service] })),
  });
  try {
    await sleep(1_500);
    await startEndpoint({ machine: deployment.nodes[0]!, id: 'i-1', recorder });
    let version = 0;
    const change = async () => {
      const routes = [
        { name: 'r-look', prefix: `/look${version + 1}/`, kind: 'safe' as const, service },
      ];
      const document = createDocument(version + 1, version, routes, [service]);
      const { status } = await deployment.put(JSON.stringify(document));
      recorder.line(`configuration ${version + 1}: ${status}`);
      version += status === 200 ? 1 : 0;
      return status === 200;
    };
    await change();
    await sleep(4_000);
    const [first, second, third] = deployment.controls;
    const added = deployment.addControl('a');
    await sleep(catchUpMs);
    await change();
    recorder.line(`${first!.name} is removed for good`);
    await deployment.powerOff(first!);
    await sleep(untilLossMs);
    const isAcknowledged = await change();
    if (!isAcknowledged) {
      throw new Error('the change was not acknowledged');
    }
    await deployment.powerOff(second!, downMs, hasTrouble);
    const backAt = now();
    const running = [second!, third!, added];
    let reads: string[] = [];
    while (now() < backAt + recoveryMs + 5_000) {
      await sleep(2_500);
      reads = await Promise.all(running.map(({ control }) => readVersion(deployment, control)));
      recorder.line(`reads ${now() - backAt} ms after it is back: ${reads.join(', ')}`);
    }
    return !reads.includes(`version ${version}`);
  } finally {
    await deployment.stop();
  }
});
