/**
 * Keeps track of the entries of the store that cannot be decoded, most of which another writer has left. Each is logged once,
 * and again only if it cannot be decoded for another reason.
 */
import type { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';

/** Longest part of a key that is logged. */
const MAX_LOGGED_KEY_LENGTH = 256;
/** Number of entries that are remembered and counted. */
const MAX_KNOWN_ENTRIES = 10_000;

/** Log line for a registration of a VM that cannot be decoded. */
export const MALFORMED_VM_TEXT = 'The registration of a VM could not be decoded.';

/** An entry that cannot be decoded. */
export interface MalformedEntry {
  readonly key: string;
  readonly prefix: EntryLogPrefix;
  /** Says what kind of entry it is. */
  readonly text: string;
  /** Why it cannot be decoded. */
  readonly detail: string;
}

/** The entries that cannot be decoded. */
export interface MalformedEntries {
  /** Records an entry that cannot be decoded, and logs it unless that is known. */
  readonly add: (entry: MalformedEntry) => void;
  /** Records that an entry can be decoded, or is gone. */
  readonly remove: (key: string) => void;
  /** Forgets all entries but those under some keys. */
  readonly retain: (keys: ReadonlySet<string>) => void;
  /** Returns the number of entries that cannot be decoded. */
  readonly count: () => number;
}

/** Creates the record, without any entry. */
export function createMalformedEntries(writeLog: EntryLogWriter): MalformedEntries {
  const detailsByKey = new Map<string, string>();
  return {
    add: ({ detail, key, prefix, text }) => {
      if (detailsByKey.get(key) === detail) {
        return;
      }
      if (detailsByKey.size < MAX_KNOWN_ENTRIES) {
        detailsByKey.set(key, detail);
      }
      const loggedKey = key.slice(0, MAX_LOGGED_KEY_LENGTH);
      writeLog(LogLevel.Warn, prefix, text, { key: loggedKey, detail });
    },
    remove: (key) => {
      detailsByKey.delete(key);
    },
    retain: (keys) => {
      [...detailsByKey.keys()]
        .filter((key) => !keys.has(key))
        .forEach((key) => detailsByKey.delete(key));
    },
    count: () => detailsByKey.size,
  };
}
