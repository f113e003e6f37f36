/**
 * An operator's configuration arrives with a byte that cannot be read: a character of two bytes has
 * lost its second one. With TROUBLE=0 the configuration arrives as it was written.
 */
import {
  createDocument,
  createRecorder,
  runCase,
  sleep,
  startDeployment,
} from '../support-2/deployment.js';
import { startEndpoint } from '../support-2/endpoint.js';

const hasTrouble = process.env.TROUBLE !== '0';
const service = 'orders';

runCase(async () => {
  const recorder = createRecorder(process.argv[2]!);
  const deployment = await startDeployment({
    recorder,
    zones: ['a', 'b', 'c'].map((name) => ({ name, services: [service] })),
  });
  try {
    await sleep(1_500);
    const [machine] = deployment.nodes;
    await startEndpoint({ machine: machine!, id: 'i-1', recorder });
    const routes = [{ name: 'r-order', prefix: '/order/', kind: 'safe' as const, service }];
    const first = await deployment.put(JSON.stringify(createDocument(1, 0, routes, [service])));
    recorder.line(`configuration 1: ${first.status}`);
    if (first.status !== 200) {
      throw new Error('the first configuration was not accepted');
    }
    await deployment.waitUntilReady();

    const added = { name: 'r-café', prefix: '/menu/', kind: 'safe' as const, service };
    const text = Buffer.from(JSON.stringify(createDocument(2, 1, [...routes, added], [service])));
    const at = text.indexOf(Buffer.from('é')) + 1;
    const sent = hasTrouble ? Buffer.concat([text.subarray(0, at), text.subarray(at + 1)]) : text;
    const second = await deployment.put(sent);
    recorder.line(`configuration 2, ${sent.length} bytes: ${second.status}`);
    const reads: string[] = [];
    for (const { control } of deployment.controls) {
      const read = await deployment.get(control);
      const location = String(read.headers.location ?? '');
      const followed = read.status === 307 ? await deployment.get(new URL(location).host) : read;
      reads.push(followed.body);
      const { version } = JSON.parse(followed.body) as { version: number };
      const isSame = Buffer.from(followed.body).equals(sent);
      recorder.line(`read at ${control}: version ${version}, as it was sent: ${isSame}`);
    }
    if (!hasTrouble) {
      return second.status !== 200 || reads.some((read) => !Buffer.from(read).equals(sent));
    }
    return second.status === 200;
  } finally {
    await deployment.stop();
  }
});
