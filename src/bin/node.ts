/**
 * `auburnsill-node --settings FILE`: runs one node. SIGTERM or SIGINT stops it gracefully, a second
 * signal immediately.
 */
import { parseArgs } from 'node:util';
import { readNodeSettings } from '../plugins/operators/nodeSettings.js';
import { Failure } from '../utils/failure.js';
import { createLog } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { startNodeInstance } from './nodeInstance.js';
import { runProgram } from './runProgram.js';
import { exitOnStartFailure } from './startFailure.js';

const stopLimitMs = 30_000;
const usage = 'usage: auburnsill-node --settings FILE';

const readSettingsPath = (): string => {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string' } } });
    if (values.settings !== undefined) {
      return values.settings;
    }
  } catch {
    // Unknown arguments are reported like missing ones.
  }
  throw new Failure('invalid_settings', usage);
};

const main = async () => {
  const settings = readNodeSettings(readSettingsPath());
  const log = createLog(settings.node.name, settings.log.level);
  await runProgram({
    log,
    stopLimitMs,
    start: async () => {
      const instance = await startNodeInstance({ settings, timer: createTimer(), log });
      return { stop: () => instance.stop(stopLimitMs) };
    },
  });
};

main().catch(exitOnStartFailure);
