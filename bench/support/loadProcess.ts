/**
 * Load generator process: receives the options as its first message and sends the result back.
 */
import { generateLoad, type LoadOptions } from './load.js';

process.once('message', async (options) => {
  const result = await generateLoad(options as LoadOptions);
  process.send?.(result, () => process.exit(0));
});
process.once('disconnect', () => process.exit(1));
