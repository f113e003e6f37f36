/**
 * Process of the load generator: takes the options as its first message, answers with the result.
 */
import { generateLoad, type LoadOptions } from './load.js';

process.once('message', async (options) => {
  const result = await generateLoad(options as LoadOptions);
  process.send?.(result, () => process.exit(0));
});
process.once('disconnect', () => process.exit(1));
