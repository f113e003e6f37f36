/** Reads the file that an argument of a command names. */
import { readFile } from 'node:fs/promises';
import { decodeUtf8 } from '../utils/utf8.js';
import { CommandFailure } from './exitCodes.js';

/** Throws `usage` if the file cannot be read, and `findings` if it is not valid UTF-8. */
export const readFileArgument = async (path: string): Promise<string> => {
  const bytes = await readFile(path).catch((error: Error) => {
    throw new CommandFailure('usage', error.message, { cause: error });
  });
  try {
    return decodeUtf8(bytes);
  } catch (error) {
    throw new CommandFailure('findings', `${path}: not valid UTF-8`, { cause: error });
  }
};
