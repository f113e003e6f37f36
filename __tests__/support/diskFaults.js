/**
 * Preloaded into a control instance with `node --import`. Disk operations fail once the file named
 * by DISK_FAULT_FILE exists. It contains the operation and the error code, such as "sync EIO".
 */
import { existsSync, readFileSync } from 'node:fs';
import promises from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';

const openFile = promises.open;

const throwInjectedFault = (operation) => {
  const file = process.env.DISK_FAULT_FILE;
  if (!existsSync(file)) {
    return;
  }
  const [failing, code] = readFileSync(file, 'utf8').trim().split(' ');
  if (failing === operation) {
    throw Object.assign(new Error(`${code}: injected fault`), { code });
  }
};

/** Opening a file for writing creates it, which also needs disk space. */
const opensForWriting = (flags) => flags !== undefined && flags !== 'r';

promises.open = async (...args) => {
  if (opensForWriting(args[1])) {
    throwInjectedFault('open');
  }
  const handle = await openFile(...args);
  const { datasync, appendFile } = handle;
  handle.datasync = async () => {
    throwInjectedFault('sync');
    await datasync.call(handle);
  };
  handle.appendFile = async (bytes) => {
    throwInjectedFault('append');
    await appendFile.call(handle, bytes);
  };
  return handle;
};
syncBuiltinESMExports();
