/**
 * Watches of the store: what they read becomes events of the loop, and stays at hand as it was written,
 * for peers that the store does not answer.
 */
import { Effect } from 'effect';
import { EntryLogPrefix } from '../../coordination/entry/commands.js';
import {
  type BackendChange,
  type ControllerLeaseHolder,
  type EntryEvent,
  EntryEventKind,
  type ListedEntryVm,
} from '../../coordination/entry/events.js';
import { LogLevel } from '../../coordination/events.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import type { PrefixStore, StoredItem, StoredItems } from '../keyValueStore.js';
import type { EntryLogWriter } from './entryLog.js';
import { decodeControllerClaim, decodeListedVm, EntryKey } from './storeKeys.js';
import type { EntryWire } from './wire.js';

/**
 * How long one call waits for changes. Shorter finds a dead connection sooner, and costs more calls; with
 * the client's slack and a retry it stays under the three seconds in which the platform lets a VM be out of touch.
 */
const WATCH_MS = 1_900;
/** Changes that come in quick succession are read by one call; the controller waits for each engine. */
const BATCH_MS = 200;
const CONTROLLER_BATCH_MS = 40;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 400;

/** The store's contents as this VM last read them. */
export interface StoreView {
  configuration: string | null;
  readonly backends: Map<string, StoredItem>;
  backendsRevision: number;
}

/** What the watches work with. */
export interface WatchContext {
  readonly store: PrefixStore;
  readonly wire: EntryWire;
  readonly post: (event: EntryEvent) => void;
  readonly writeLog: EntryLogWriter;
  readonly nextRandom: () => number;
  readonly view: StoreView;
  readonly isController: () => boolean;
}

/** Creates a view in which nothing has been read. */
export function createStoreView(): StoreView {
  return { configuration: null, backends: new Map(), backendsRevision: 0 };
}

/** What is done with what one watch reads. */
interface Watcher {
  readonly prefix: string;
  readonly take: (items: StoredItems, isWhole: boolean) => void;
  readonly noteAccess: (isReachable: boolean) => void;
}

/** Reads a prefix whole, then its changes, for ever. */
function watchPrefix(context: WatchContext, watcher: Watcher): Effect.Effect<never> {
  const { nextRandom, store } = context;
  const { noteAccess, prefix, take } = watcher;
  let revision: number | null = null;
  const readOnce: Effect.Effect<void, Diagnostic> = Effect.gen(function* readStep() {
    if (revision === null) {
      const items = yield* store.list(prefix);
      noteAccess(true);
      take(items, true);
      revision = items.revision;
      return;
    }
    const changes = yield* store.waitForChanges(prefix, revision, WATCH_MS);
    noteAccess(true);
    revision = changes?.revision ?? null;
    if (changes !== null && changes.items.length > 0) {
      take(changes, false);
      yield* Effect.sleep(context.isController() ? CONTROLLER_BATCH_MS : BATCH_MS);
    }
  });
  const waitToRetry = Effect.suspend(() => {
    noteAccess(false);
    return Effect.sleep(MIN_RETRY_MS + nextRandom() * (MAX_RETRY_MS - MIN_RETRY_MS));
  });
  return Effect.forever(
    Effect.matchEffect(readOnce, {
      onFailure: () => waitToRetry,
      onSuccess: () => Effect.void,
    }),
  );
}

/** Takes over a configuration as it was written, from the store or a peer. */
export function takeConfiguration(context: WatchContext, text: string, source: string): void {
  const { post, view, wire, writeLog } = context;
  wire.decodeConfiguration(text).caseOf({
    Left: ({ message }) =>
      writeLog(LogLevel.Error, EntryLogPrefix.Configuration, 'A configuration cannot be read.', {
        source,
        detail: message,
      }),
    Right: (deployment) => {
      view.configuration = text;
      post({ kind: EntryEventKind.ConfigurationRead, deployment, source });
    },
  });
}

function decodeChanges(context: WatchContext, items: readonly StoredItem[]): BackendChange[] {
  const { wire, writeLog } = context;
  return items.flatMap((item): BackendChange[] => {
    const id = item.key.slice(wire.backendsPrefix.length);
    const { value, version: revision } = item;
    if (value === null) {
      return [{ id, revision, entry: null }];
    }
    return wire.decodeBackendEntry(item.key, value).caseOf<BackendChange[]>({
      Left: ({ message }) => {
        writeLog(LogLevel.Warn, EntryLogPrefix.Backend, 'An entry names no backend server.', {
          key: item.key,
          detail: message,
        });
        return [{ id, revision, entry: null }];
      },
      Right: (entry) => [{ id, revision, entry }],
    });
  });
}

/** Takes over backend servers as they were written, from the store or a peer. */
export function takeBackends(
  context: WatchContext,
  { items, revision }: StoredItems,
  isSnapshot: boolean,
  source: string,
): void {
  const { post, view } = context;
  if (revision < view.backendsRevision) {
    return;
  }
  if (isSnapshot) {
    view.backends.clear();
  }
  items.forEach((item) => {
    if (item.value === null) {
      view.backends.delete(item.key);
    } else {
      view.backends.set(item.key, item);
    }
  });
  view.backendsRevision = revision;
  const changes = decodeChanges(context, items);
  post({ kind: EntryEventKind.BackendsRead, isSnapshot, changes, revision, source });
}

function createOwnKeysWatcher(context: WatchContext): Watcher {
  const { post, writeLog } = context;
  const vms = new Map<string, ListedEntryVm>();
  let holder: ControllerLeaseHolder | null = null;
  const readClaim = (value: string, version: number): ControllerLeaseHolder | null =>
    decodeControllerClaim(value, version).caseOf<ControllerLeaseHolder | null>({
      Left: ({ message: detail }) => {
        writeLog(LogLevel.Error, EntryLogPrefix.Placement, 'A claim cannot be read.', { detail });
        return null;
      },
      Right: (claim) => claim,
    });
  const takeItem = ({ key, value, version }: StoredItem): void => {
    if (key === EntryKey.Controller) {
      holder = value === null ? null : readClaim(value, version);
    } else if (key.startsWith(EntryKey.Vms) && value === null) {
      vms.delete(key);
    } else if (key.startsWith(EntryKey.Vms) && value !== null) {
      decodeListedVm(value).caseOf({
        Left: ({ message }) =>
          writeLog(LogLevel.Warn, EntryLogPrefix.Peer, 'An entry names no VM.', {
            key,
            detail: message,
          }),
        Right: (vm) => vms.set(key, vm),
      });
    }
  };
  return {
    prefix: EntryKey.Prefix,
    take: ({ items }, isWhole) => {
      if (isWhole) {
        vms.clear();
        holder = null;
      }
      items.forEach(takeItem);
      post({ kind: EntryEventKind.VmsRead, vms: [...vms.values()] });
      post({ kind: EntryEventKind.ControllerLeaseRead, holder });
    },
    noteAccess: () => {},
  };
}

/** Creates all watches of an entry VM. They run until interrupted. */
export function createStoreWatches(context: WatchContext): readonly Effect.Effect<never>[] {
  const { post, wire } = context;
  const configuration: Watcher = {
    prefix: wire.configurationKey,
    take: ({ items }) => {
      const text = items.findLast(({ key }) => key === wire.configurationKey)?.value ?? null;
      if (text !== null) {
        takeConfiguration(context, text, 'store');
      }
    },
    noteAccess: () => {},
  };
  const backends: Watcher = {
    prefix: wire.backendsPrefix,
    take: (items, isWhole) => takeBackends(context, items, isWhole, 'store'),
    noteAccess: (isReachable) => post({ kind: EntryEventKind.StoreReachabilityRead, isReachable }),
  };
  return [configuration, backends, createOwnKeysWatcher(context)].map((watcher) =>
    watchPrefix(context, watcher),
  );
}
