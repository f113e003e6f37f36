/**
 * Program of a node on the platform: the standard node with the platform's settings, call protocol
 * and heartbeats.
 */
import { startNodeInstance } from '../bin/nodeInstance.js';
import { runProgram } from '../bin/runProgram.js';
import { exitOnStartFailure } from '../bin/startFailure.js';
import { createLog } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { readAdminPort, readNodeFeatures } from './arguments.js';
import { createCallInterface } from './callInterface.js';
import { createHeartbeatServer } from './heartbeats.js';
import { createReportCheck } from './reportCheck.js';
import {
  listenAddress,
  platformSettingsFile,
  readPlatformSettings,
  toNodeSettings,
  toRetryBudgets,
} from './settings.js';
import { watchSettings } from './settingsWatch.js';

/** The platform checks readiness every second and stops using a node after two failed checks. */
const acceptMs = 2_500;
const idleMs = 500;
/**
 * Share of the grace period that is reserved for closing the feed and the process. The platform
 * counts a call as lost if it is cut before the last sixth of the grace period.
 */
const shutdownReserveShare = 0.13;
/** Consecutive missed heartbeats after which an endpoint counts as lost. */
const maxMissedHeartbeats = 3;

const main = async () => {
  const file = platformSettingsFile();
  const settings = readPlatformSettings(file);
  const timer = createTimer();
  const log = createLog(settings.node);
  const watch = watchSettings(file, settings, timer, log.part('settings'));
  const stopLimitMs = settings.graceMs * (1 - shutdownReserveShare);
  const start = () =>
    startNodeInstance({
      settings: toNodeSettings(settings, readAdminPort(), readNodeFeatures()),
      timer,
      log,
      adapter: {
        checkReport: createReportCheck(watch),
        callInterface: createCallInterface(() => watch.current().service),
        stopTimes: { acceptMs, idleMs },
        retryBudgets: toRetryBudgets(settings),
        renewWithinMs: maxMissedHeartbeats * settings.heartbeatMs,
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
