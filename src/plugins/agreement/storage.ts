/**
 * Data folder of a control instance: its lock, its identity and the logs of its replica groups. The
 * identity contains the incarnation, a random id of the folder. If a folder is lost and created
 * again, it has another incarnation and does not count as the old member.
 */
import { randomUUID } from 'node:crypto';
import { crc32 } from 'node:zlib';
import { Failure } from '../../utils/failure.js';
import { createFiles, replaceFile, type Files } from './files.js';
import { lockFolder } from './folderLock.js';
import { openGroupLog, type GroupLog } from './groupLog.js';

/** Format of the data folder. Folders of a later format are refused. */
export const storageFormat = 1;
const identityName = 'identity.json';

export interface StorageIdentity {
  readonly format: number;
  readonly cluster: string;
  readonly member: string;
  readonly incarnation: string;
  /** Groups whose logs have been created. */
  readonly groups: readonly string[];
}

export interface Storage {
  readonly incarnation: string;
  /** True if the folder had no identity before. */
  readonly isNew: boolean;
  openLog(group: string, observeSyncMs?: (ms: number) => void): Promise<GroupLog>;
  close(): Promise<void>;
}

export interface StorageOwner {
  readonly cluster: string;
  readonly member: string;
}

const checksumOf = (identity: StorageIdentity): string => {
  const { format, cluster, member, incarnation, groups } = identity;
  return crc32(JSON.stringify([format, cluster, member, incarnation, groups])).toString(16);
};

const parseIdentity = (
  bytes: Uint8Array,
  path: string,
): StorageIdentity & { checksum?: string } => {
  try {
    return JSON.parse(new TextDecoder().decode(bytes));
  } catch (cause) {
    throw new Failure('folder_damaged', `${path} is not JSON`, { cause });
  }
};

const checkIdentity = (bytes: Uint8Array, path: string, owner: StorageOwner): StorageIdentity => {
  const identity = parseIdentity(bytes, path);
  if (Number.isInteger(identity.format) && identity.format > storageFormat) {
    const detail = `${path} has format ${identity.format}, but only ${storageFormat} is supported`;
    throw new Failure('folder_foreign', detail);
  }
  if (identity.checksum !== checksumOf(identity)) {
    throw new Failure('folder_damaged', `${path}: checksum is wrong`);
  }
  if (identity.cluster !== owner.cluster || identity.member !== owner.member) {
    const found = `${identity.member} of cluster ${identity.cluster}`;
    const detail = `${path} belongs to ${found}, not to ${owner.member} of cluster ${owner.cluster}`;
    throw new Failure('folder_foreign', detail);
  }
  return identity;
};

const isMetadataFile = (name: string): boolean => /^(?:lock|identity\.json)(?:\.|$)/.test(name);

const openIdentity = async (
  files: Files,
  folder: string,
  owner: StorageOwner,
): Promise<{ identity: StorageIdentity; isNew: boolean }> => {
  const path = `${folder}/${identityName}`;
  const bytes = await files.read(path);
  if (bytes) {
    return { identity: checkIdentity(bytes, path, owner), isNew: false };
  }
  const others = (await files.list(folder)).filter((name) => !isMetadataFile(name));
  if (others.length > 0) {
    const detail = `${folder} has no ${identityName} and is not empty: ${others.join(', ')}`;
    throw new Failure('folder_foreign', detail);
  }
  const identity = { ...owner, format: storageFormat, incarnation: randomUUID(), groups: [] };
  return { identity, isNew: true };
};

const writeIdentity = (files: Files, folder: string, identity: StorageIdentity): Promise<void> => {
  const text = `${JSON.stringify({ ...identity, checksum: checksumOf(identity) }, null, 2)}\n`;
  return replaceFile(files, folder, identityName, Buffer.from(text));
};

/**
 * Opens a data folder. Throws `folder_locked`, `folder_foreign` or `folder_damaged`.
 */
export const openStorage = async (
  folder: string,
  owner: StorageOwner,
  files: Files = createFiles(),
): Promise<Storage> => {
  await files.makeFolder(folder);
  const unlock = await lockFolder(folder);
  const logs: GroupLog[] = [];
  try {
    const opened = await openIdentity(files, folder, owner);
    let { identity } = opened;
    if (opened.isNew) {
      await writeIdentity(files, folder, identity);
    }
    return {
      incarnation: identity.incarnation,
      isNew: opened.isNew,
      openLog: async (group, observeSyncMs) => {
        const isListed = identity.groups.includes(group);
        const log = await openGroupLog({
          files,
          folder: `${folder}/${group}`,
          mustExist: isListed,
          observeSyncMs,
        });
        logs.push(log);
        // The files of the log have to be durable before the identity lists the group.
        if (!isListed) {
          identity = { ...identity, groups: [...identity.groups, group] };
          await writeIdentity(files, folder, identity);
        }
        return log;
      },
      close: async () => {
        await Promise.all(logs.map((log) => log.close()));
        await unlock();
      },
    };
  } catch (error) {
    await unlock();
    throw error;
  }
};
