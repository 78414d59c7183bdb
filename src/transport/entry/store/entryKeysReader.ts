/**
 * Reads what the VMs write to the store: their registrations, the holder of the controller lease and the quarantines. Posts
 * them as events to the event loop.
 */
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import {
  type ControllerLeaseHolder,
  type EntryEvent,
  EntryEventKind,
} from '../../../coordination/entry/events.js';
import type { ListedEntryVm } from '../../../coordination/entry/peerMessage.js';
import type { StoredItem } from '../../../state/storedItems.js';
import { MALFORMED_VM_TEXT, type MalformedEntries } from './malformedEntries.js';
import {
  decodeControllerLeaseHolder,
  decodeListedVm,
  decodeQuarantines,
  EntryKey,
} from './storeKeys.js';

const NO_QUARANTINES = '[]';

/** Posts what the VMs have written to the store: changes of it, or all of it for a snapshot. */
export type EntryKeysReader = (items: readonly StoredItem[], isSnapshot: boolean) => void;

/** Dependencies of the reader. */
export interface EntryKeysContext {
  readonly post: (event: EntryEvent) => void;
  readonly malformedEntries: MalformedEntries;
  /** Reads the wall clock. */
  readonly getWallMs: () => number;
}

/** Creates the function that posts what the VMs have written to the store. It keeps what it has decoded. */
export function createEntryKeysReader(context: EntryKeysContext): EntryKeysReader {
  const { getWallMs, malformedEntries, post } = context;
  const vms = new Map<string, ListedEntryVm>();
  let holder: ControllerLeaseHolder | null = null;
  const applyQuarantines = ({ key, value, version }: StoredItem): void => {
    const prefix = EntryLogPrefix.Quarantine;
    decodeQuarantines(value ?? NO_QUARANTINES, getWallMs()).caseOf({
      Left: ({ message: detail }) => {
        const text = 'The quarantines in the store could not be decoded.';
        malformedEntries.add({ key, prefix, text, detail });
      },
      Right: ({ quarantines, rejected: [first] }) => {
        if (first === undefined) {
          malformedEntries.remove(key);
        } else {
          const text = 'A quarantine in the store could not be decoded.';
          malformedEntries.add({ key, prefix, text, detail: first.message });
        }
        const kind = EntryEventKind.QuarantinesRead;
        post({ kind, quarantines, version: value === null ? 0 : version });
      },
    });
  };
  const applyLeaseHolder = ({ key, value, version }: StoredItem): void => {
    holder = null;
    if (value === null) {
      malformedEntries.remove(key);
    } else {
      decodeControllerLeaseHolder(value, version).caseOf({
        Left: ({ message: detail }) => {
          const prefix = EntryLogPrefix.Placement;
          const text = 'The controller lease could not be decoded.';
          malformedEntries.add({ key, prefix, text, detail });
        },
        Right: (leaseHolder) => {
          malformedEntries.remove(key);
          holder = leaseHolder;
        },
      });
    }
  };
  const applyVm = ({ key, value }: StoredItem): void => {
    if (value === null) {
      malformedEntries.remove(key);
      vms.delete(key);
      return;
    }
    decodeListedVm(key, value).caseOf({
      Left: ({ message: detail }) =>
        malformedEntries.add({ key, prefix: EntryLogPrefix.Peer, text: MALFORMED_VM_TEXT, detail }),
      Right: (vm) => {
        malformedEntries.remove(key);
        vms.set(key, vm);
      },
    });
  };
  const appliers: ReadonlyMap<string, (item: StoredItem) => void> = new Map([
    [EntryKey.Quarantines, applyQuarantines],
    [EntryKey.Controller, applyLeaseHolder],
  ]);
  const applyItem = (item: StoredItem): void => {
    if (item.key.startsWith(EntryKey.Vms)) {
      applyVm(item);
    } else {
      appliers.get(item.key)?.(item);
    }
  };
  return (items, isSnapshot) => {
    if (isSnapshot) {
      vms.clear();
      holder = null;
      if (!items.some(({ key }) => key === EntryKey.Quarantines)) {
        post({ kind: EntryEventKind.QuarantinesRead, quarantines: [], version: 0 });
      }
    }
    items.forEach(applyItem);
    post({ kind: EntryEventKind.VmsRead, vms: [...vms.values()] });
    post({ kind: EntryEventKind.ControllerLeaseRead, holder });
  };
}
