import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createAccess } from '../src/plugins/operators/access.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { warmUp } from '../src/plugins/calls/warmUp.js';
import { createTimer } from '../src/utils/timer.js';
import { createCallInterface } from '../src/platform/callInterface.js';
import { waitFor } from './support/waitFor.js';

const interfaces = {
  'the native interface': nativeCallInterface,
  'the interface of the platform': createCallInterface(() => 's'),
};

// Guards against a warm-up whose calls are refused early, which leaves the code of a call cold.
Object.entries(interfaces).forEach(([name, callInterface]) =>
  it(`gets responses to its calls through ${name} and leaves nothing open`, async () => {
    const timer = createTimer();
    let answered = 0;
    const countingInterface = {
      ...callInterface,
      callers: {
        ...callInterface.callers,
        refusal: () => assert.fail('a call of the warm-up was refused'),
        responseHeaders: (context: Parameters<typeof callInterface.callers.responseHeaders>[0]) => {
          answered += 1;
          return callInterface.callers.responseHeaders(context);
        },
      },
    };
    const before = process.getActiveResourcesInfo().length;
    const sent = await warmUp({
      callInterface: countingInterface,
      access: createAccess({ clusterToken: 'token' }),
      timer,
    });
    assert.ok(sent > 0);
    assert.equal(answered, sent);
    timer.stop();
    await waitFor(() => process.getActiveResourcesInfo().length <= before);
  }),
);
