/**
 * The node on the platform: the product's node with the platform's settings, calls and check-ins.
 */
import { startNodeInstance } from '../bin/nodeInstance.js';
import { runProgram } from '../bin/runProgram.js';
import { exitOnStartFailure } from '../bin/startFailure.js';
import { createLog } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { readAdminPort } from './arguments.js';
import { createCallInterface } from './callInterface.js';
import { createHeartbeatServer } from './heartbeats.js';
import {
  listenAddress,
  platformSettingsFile,
  readPlatformSettings,
  toNodeSettings,
  toRetryBudgets,
} from './settings.js';
import { watchSettings } from './settingsWatch.js';

/** The platform asks each second whether a node is ready and gives up after two misses. */
const acceptMs = 2_500;
const idleMs = 500;
/**
 * Part of the grace that is kept for the end of the feed and of the process. The platform counts a
 * call as lost if it is cut before the last sixth of the grace.
 */
const endReservePart = 0.13;
/** Check-ins that may be missed before an endpoint counts as lost. */
const missedCheckIns = 3;

const main = async () => {
  const file = platformSettingsFile();
  const settings = readPlatformSettings(file);
  const timer = createTimer();
  const log = createLog(settings.node);
  const watch = watchSettings(file, settings, timer, log.part('settings'));
  const stopLimitMs = settings.graceMs * (1 - endReservePart);
  const start = () =>
    startNodeInstance({
      settings: toNodeSettings(settings, readAdminPort()),
      timer,
      log,
      adapter: {
        callInterface: createCallInterface(() => watch.current().service),
        stopTimes: { acceptMs, idleMs },
        retryBudgets: toRetryBudgets(settings),
        renewWithinMs: missedCheckIns * settings.heartbeatMs,
        start: ({ ready, announcement }) =>
          createHeartbeatServer({
            control: listenAddress(settings, 'control'),
            ready: listenAddress(settings, 'ready'),
            announcement,
            isReady: ready,
            timer,
            log: log.part('checkIns'),
          }),
      },
    });
  await runProgram({
    log,
    stopLimitMs: settings.graceMs,
    start: async () => {
      const instance = await start();
      return { stop: () => instance.stop(stopLimitMs) };
    },
    reload: watch.reload,
  });
};

main().catch(exitOnStartFailure);
