/**
 * Program of a control instance on the platform: the standard control instance with the platform's
 * settings and operator API.
 */
import { startControlInstance } from '../bin/controlInstance.js';
import { runProgram } from '../bin/runProgram.js';
import { describeFailure, exitOnStartFailure, programExitCodes } from '../bin/startFailure.js';
import { createLog } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { readAdminPort } from './arguments.js';
import { createDocumentReader } from './documents.js';
import { createOperatorServer } from './operatorServer.js';
import {
  listenAddress,
  platformSettingsFile,
  readPlatformSettings,
  toControlSettings,
} from './settings.js';
import { watchSettings } from './settingsWatch.js';

const main = async () => {
  const file = platformSettingsFile();
  const settings = readPlatformSettings(file);
  const timer = createTimer();
  const log = createLog(settings.node);
  const watch = watchSettings(file, settings, timer, log.part('settings'));
  const start = () =>
    startControlInstance({
      settings: toControlSettings(settings, readAdminPort(), watch.current),
      bootstrap: false,
      timer,
      log,
      random: Math.random,
      adapter: {
        readDocument: createDocumentReader(),
        start: ({ documents, rollouts }) =>
          createOperatorServer({
            address: listenAddress(settings, 'control'),
            documents,
            rollouts,
            log: log.part('operators'),
          }),
      },
      onFatal: (error) => {
        log.error('ending', { error: describeFailure(error) });
        // Exit immediately: after a disk failure the process must not send anything.
        // eslint-disable-next-line n/no-process-exit
        process.exit(programExitCodes.failed);
      },
    });
  await runProgram({
    log,
    stopLimitMs: settings.graceMs,
    start,
    reload: watch.reload,
  });
};

main().catch(exitOnStartFailure);
