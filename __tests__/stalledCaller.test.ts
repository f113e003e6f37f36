import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { it } from 'node:test';
import { createCallListener } from '../src/plugins/calls/callListener.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';
import { waitFor } from './support/waitFor.js';

it('ends a call whose caller stops reading its response, and no call that waits', async () => {
  const timer = createTimer();
  const closed: string[] = [];
  const listener = createCallListener({
    address: { host: '127.0.0.1', port: 0 },
    timer,
    log: createSilentLog(),
    maxHeaderBytes: 1_024,
    callers: nativeCallInterface.callers,
    stopTimes: { acceptMs: 0, idleMs: 0 },
    stallTimeoutMs: 200,
    onCall: (request, response) => {
      response.on('close', () => closed.push(request.url ?? ''));
      if (request.url === '/large') {
        response.end(Buffer.alloc(64 * 1024 * 1024));
      }
    },
  });
  const { port } = await listener.listen();
  const open = (path: string) => {
    const socket = connect(port, '127.0.0.1').pause();
    socket.on('error', () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
    return socket;
  };
  const sockets = [open('/waiting'), open('/large')];
  await waitFor(() => closed.length > 0);
  assert.deepEqual(closed, ['/large']);
  sockets.forEach((socket) => socket.destroy());
  await listener.stop(0);
  timer.stop();
});
