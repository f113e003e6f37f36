/**
 * Preloaded into a control instance (`node --import`): disk operations fail once the file that
 * DISK_FAULT_FILE names exists. Its content is the operation and the error code, such as "sync EIO".
 */
import { existsSync, readFileSync } from 'node:fs';
import promises from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';

const openFile = promises.open;

const failIfDue = (operation) => {
  const file = process.env.DISK_FAULT_FILE;
  if (!existsSync(file)) {
    return;
  }
  const [failing, code] = readFileSync(file, 'utf8').trim().split(' ');
  if (failing === operation) {
    throw Object.assign(new Error(`${code}: injected fault`), { code });
  }
};

/** Opening a file for writing creates it, which takes room as well. */
const isForWriting = (flags) => flags !== undefined && flags !== 'r';

promises.open = async (...args) => {
  if (isForWriting(args[1])) {
    failIfDue('open');
  }
  const handle = await openFile(...args);
  const { datasync, appendFile } = handle;
  handle.datasync = async () => {
    failIfDue('sync');
    await datasync.call(handle);
  };
  handle.appendFile = async (bytes) => {
    failIfDue('append');
    await appendFile.call(handle, bytes);
  };
  return handle;
};
syncBuiltinESMExports();
