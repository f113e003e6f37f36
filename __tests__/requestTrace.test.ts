import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { gzipSync } from 'node:zlib';

const folder = mkdtempSync(join(tmpdir(), 'auburnsill-trace-'));
const cli = join(import.meta.dirname, '..', 'src', 'bin', 'auburnsill.ts');

const line = (second: number, process: string, message: string, fields: object) =>
  JSON.stringify({
    level: 'warn',
    timestamp: `2026-01-01T00:00:0${second}.000Z`,
    process,
    message: `calls: ${message}`,
    ...fields,
  });

const writeLog = (name: string, lines: readonly string[]): string => {
  const file = join(folder, name);
  const text = `${lines.join('\n')}\n`;
  writeFileSync(file, name.endsWith('.gz') ? gzipSync(text) : text);
  return file;
};

const runTrace = (...args: string[]) => {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    ['--import', 'tsx', cli, 'trace', ...args],
    { encoding: 'utf8' },
  );
  return { status, lines: stdout.trimEnd().split('\n'), stderr };
};

describe('trace of a request', () => {
  after(() => rmSync(folder, { recursive: true }));

  const entry = writeLog('entry.log', [
    line(3, 'node-a', 'call refused', {
      request_id: 'r1',
      reason: 'overloaded',
      run: 'not_run',
      lines_dropped: 7,
    }),
    'a line that was cut of',
    line(2, 'node-a', 'attempt failed', {
      request_id: 'r1',
      endpoint: 'e-b',
      reason: 'overloaded',
    }),
    line(2, 'node-a', 'call refused', { request_id: 'r10', reason: 'deadline_past' }),
  ]);
  const receiving = writeLog('receiving.log.gz', [
    `  4.42 node-b ${line(1, 'node-b', 'call not admitted', {
      request_id: 'r1',
      reason: 'overloaded',
      in_flight: 4,
      limit: 4,
      waiting: 9,
      waited_ms: 20,
      max_wait_ms: 20,
    })}`,
  ]);

  // Guards against on-call engineers who have the id of a failed request and cannot find its cause.
  it('joins the lines of all processes by time and ends with the cause', () => {
    const { status, lines } = runTrace('r1', entry, receiving);
    assert.equal(status, 0);
    assert.deepEqual(
      lines.slice(0, 3).map((text) => text.split('  ').slice(1, 3).join(' ')),
      [
        'node-b calls: call not admitted',
        'node-a calls: attempt failed',
        'node-a calls: call refused',
      ],
    );
    assert.ok(lines.includes('1 line skipped that no process of auburnsill wrote'));
    assert.ok(lines.includes('7 lines not written because of the rate limit'));
    assert.equal(
      lines.at(-1),
      'cause: refused by node-a: overloaded, not_run; node-b did not admit it: overloaded, ' +
        '4 of 4 slots in use, 9 waiting, waited 20 ms of 20 ms',
    );
  });

  it('names the refused call of an upstream that failed its request', () => {
    const file = writeLog('nested.log', [
      line(1, 'node-c', 'call refused', {
        request_id: 'r2.x',
        parent_id: 'r2',
        reason: 'no_upstream',
        run: 'not_run',
      }),
      line(2, 'node-a', 'upstream answered with a failure', { request_id: 'r2', status: 500 }),
    ]);
    assert.equal(
      runTrace('r2', file).lines.at(-1),
      'cause: the upstream answered with status 500; because of call r2.x: ' +
        'refused by node-c: no_upstream, not_run',
    );
  });

  it('follows a change to the processes where it is in force', () => {
    const file = writeLog('change.log', [
      line(1, 'control', 'change decided', { changeId: 'c', outcome: 'accepted', version: '2.5' }),
      line(2, 'node-a', 'version in force', { version: '2.5' }),
      line(3, 'node-b', 'version in force', { version: '2.5' }),
    ]);
    assert.equal(
      runTrace('--change', '2.5', file).lines.at(-1),
      'cause: control decided: accepted; in force on 2 processes, last on node-b at ' +
        '2026-01-01T00:00:03.000Z',
    );
  });

  it('prints one JSON object, and ends with 9 if nothing has the id', () => {
    const { status, lines } = runTrace('--json', 'unknown', entry);
    const { ok, events } = JSON.parse(lines[0] ?? '');
    assert.deepEqual([status, lines.length, ok, events], [9, 1, false, []]);
  });

  it('ends with 2 and names the file that cannot be read', () => {
    const { status, stderr } = runTrace('r1', join(folder, 'none.log'));
    assert.equal(status, 2);
    assert.match(stderr, /none\.log/);
  });
});
