/**
 * Traffic of the quick start: calls of the four classes of the road service at constant rates.
 * Every response is checked to be complete and to belong to its request.
 */
import { randomUUID } from 'node:crypto';

const callTimeoutMs = 30_000;
const tileBytes = 20_000_000;

const checkSummary = async (response, requestId) => {
  const { request_id: answeredId } = await response.json();
  return answeredId === requestId ? undefined : `the response belongs to request ${answeredId}`;
};

const checkTile = async (response, requestId) => {
  const body = Buffer.from(await response.arrayBuffer());
  const expected = Buffer.alloc(tileBytes, `${requestId}\n`);
  return body.equals(expected)
    ? undefined
    : `the tile of ${body.length} bytes has the wrong size or content`;
};

const callKinds = [
  {
    name: 'field-lookup',
    everyMs: 25,
    method: 'GET',
    path: '/poles/4711?work=10',
    check: checkSummary,
  },
  {
    name: 'confirmation',
    everyMs: 200,
    method: 'POST',
    path: '/confirmations',
    withKey: true,
    check: checkSummary,
  },
  {
    name: 'survey-tile',
    everyMs: 1_500,
    method: 'GET',
    path: `/tiles/31370?bytes=${tileBytes}`,
    check: checkTile,
  },
  { name: 'pole-count', everyMs: 300, method: 'GET', path: '/count', check: checkSummary },
];

/** Starts the traffic. `stop` stops new calls and waits for those in flight. */
export const startTraffic = (callAddresses) => {
  const counts = Object.fromEntries(callKinds.map(({ name }) => [name, { calls: 0, failed: 0 }]));
  const failures = [];
  const keys = [];
  const pendingCalls = new Set();
  let sequence = 0;

  const send = async (kind, requestId, address) => {
    const headers = { 'x-request-id': requestId };
    if (kind.withKey) {
      headers['idempotency-key'] = requestId;
      keys.push(requestId);
    }
    const response = await fetch(`http://${address}${kind.path}`, {
      method: kind.method,
      headers,
      body: kind.method === 'POST' ? JSON.stringify({ pole: 4711 }) : undefined,
      signal: AbortSignal.timeout(callTimeoutMs),
    });
    if (response.status !== 200) {
      throw new Error(`${response.status} ${await response.text()}`);
    }
    const problem = await kind.check(response, requestId);
    if (problem) {
      throw new Error(problem);
    }
  };

  const call = (kind) => {
    sequence += 1;
    const address = callAddresses[sequence % callAddresses.length];
    const count = counts[kind.name];
    const requestId = randomUUID();
    count.calls += 1;
    const running = send(kind, requestId, address)
      .catch((error) => {
        count.failed += 1;
        failures.push(`${kind.name} through ${address}: ${error.message}`);
      })
      .finally(() => pendingCalls.delete(running));
    pendingCalls.add(running);
  };

  const timers = callKinds.map((kind) => setInterval(() => call(kind), kind.everyMs));
  const sum = (field) => Object.values(counts).reduce((total, count) => total + count[field], 0);

  return {
    counts,
    failures,
    keys,
    calls: () => sum('calls'),
    failed: () => sum('failed'),
    stop: async () => {
      timers.forEach(clearInterval);
      await Promise.all(pendingCalls);
    },
  };
};
