/**
 * Watches the store and posts what changes as events to the event loop. Keeps the configuration and the entries of the
 * backend servers as they were written, for peers that cannot reach the store.
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
import {
  decodeControllerLeaseHolder,
  decodeListedVm,
  decodeQuarantines,
  EntryKey,
} from './storeKeys.js';
import type { EntryWire } from './wire.js';

/**
 * Time for which one call waits for changes. A shorter time detects a dead connection sooner, but costs more calls.
 * This time, the client's timeout margin and one retry together take less than the three seconds for which the
 * platform tolerates that a VM has no contact with the store.
 */
const WATCH_WAIT_MS = 1_900;
/**
 * Delay after a change, so that one call reads several changes in quick succession. It is shorter on the controller,
 * which waits for the changes of each engine.
 */
const BATCH_DELAY_MS = 200;
const CONTROLLER_BATCH_DELAY_MS = 40;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 400;

/** The configuration and the backend servers' entries as this VM last read them. */
export interface StoreView {
  configuration: string | null;
  readonly backends: Map<string, StoredItem>;
  backendsRevision: number;
}

/** Dependencies of the watches. */
export interface WatchContext {
  readonly store: PrefixStore;
  readonly wire: EntryWire;
  readonly post: (event: EntryEvent) => void;
  readonly writeLog: EntryLogWriter;
  readonly nextRandom: () => number;
  readonly view: StoreView;
  readonly isController: () => boolean;
  /** Reads the wall clock. */
  readonly getWallMs: () => number;
}

/** Creates an empty view. */
export function createStoreView(): StoreView {
  return { configuration: null, backends: new Map(), backendsRevision: 0 };
}

/** The prefix of one watch, and the handlers of what it reads. */
interface PrefixWatch {
  readonly prefix: string;
  readonly apply: (items: StoredItems, isSnapshot: boolean) => void;
  readonly recordReachability: (isReachable: boolean) => void;
}

/** Lists a prefix, then waits for its changes in an endless loop; lists it again if the store has dropped changes. */
function watchPrefix(context: WatchContext, watch: PrefixWatch): Effect.Effect<never> {
  const { nextRandom, store } = context;
  const { apply, prefix, recordReachability } = watch;
  let revision: number | null = null;
  const readOnce: Effect.Effect<void, Diagnostic> = Effect.gen(function* readStep() {
    if (revision === null) {
      const items = yield* store.list(prefix);
      recordReachability(true);
      apply(items, true);
      revision = items.revision;
      return;
    }
    const changes = yield* store.waitForChanges(prefix, revision, WATCH_WAIT_MS);
    recordReachability(true);
    revision = changes?.revision ?? null;
    if (changes !== null && changes.items.length > 0) {
      apply(changes, false);
      yield* Effect.sleep(context.isController() ? CONTROLLER_BATCH_DELAY_MS : BATCH_DELAY_MS);
    }
  });
  const waitBeforeRetry = Effect.suspend(() => {
    recordReachability(false);
    return Effect.sleep(
      MIN_RETRY_DELAY_MS + nextRandom() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS),
    );
  });
  return Effect.forever(
    Effect.matchEffect(readOnce, {
      onFailure: () => waitBeforeRetry,
      onSuccess: () => Effect.void,
    }),
  );
}

/** Decodes a configuration from the store or a peer, records it in the view and posts it to the event loop. */
export function applyConfiguration(context: WatchContext, text: string, source: string): void {
  const { post, view, wire, writeLog } = context;
  wire.decodeConfiguration(text).caseOf({
    Left: ({ message }) =>
      writeLog(
        LogLevel.Error,
        EntryLogPrefix.Configuration,
        'The configuration could not be decoded.',
        {
          source,
          detail: message,
        },
      ),
    Right: (deployment) => {
      view.configuration = text;
      post({ kind: EntryEventKind.ConfigurationRead, deployment, source });
    },
  });
}

function decodeBackendChanges(
  context: WatchContext,
  items: readonly StoredItem[],
): BackendChange[] {
  const { wire, writeLog } = context;
  return items.flatMap((item): BackendChange[] => {
    const id = item.key.slice(wire.backendsPrefix.length);
    const { value, version: revision } = item;
    if (value === null) {
      return [{ id, revision, entry: null }];
    }
    return wire.decodeBackendEntry(item.key, value).caseOf<BackendChange[]>({
      Left: ({ message }) => {
        writeLog(
          LogLevel.Warn,
          EntryLogPrefix.Backend,
          'The entry of a backend server could not be decoded.',
          {
            key: item.key,
            detail: message,
          },
        );
        return [{ id, revision, entry: null }];
      },
      Right: (entry) => [{ id, revision, entry }],
    });
  });
}

/**
 * Records entries of backend servers from the store or a peer in the view and posts them to the event loop. Ignores a
 * revision older than the one in the view.
 */
export function applyBackends(
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
  const changes = decodeBackendChanges(context, items);
  post({ kind: EntryEventKind.BackendsRead, isSnapshot, changes, revision, source });
}

function createEntryKeysWatcher(context: WatchContext): PrefixWatch {
  const { getWallMs, post, writeLog } = context;
  const vms = new Map<string, ListedEntryVm>();
  let holder: ControllerLeaseHolder | null = null;
  const decodeLeaseHolder = (value: string, version: number): ControllerLeaseHolder | null =>
    decodeControllerLeaseHolder(value, version).caseOf<ControllerLeaseHolder | null>({
      Left: ({ message: detail }) => {
        writeLog(
          LogLevel.Error,
          EntryLogPrefix.Placement,
          'The controller lease could not be decoded.',
          { detail },
        );
        return null;
      },
      Right: (leaseHolder) => leaseHolder,
    });
  const applyQuarantines = (value: string, version: number): void => {
    decodeQuarantines(value, getWallMs()).caseOf({
      Left: ({ message: detail }) =>
        writeLog(
          LogLevel.Error,
          EntryLogPrefix.Quarantine,
          'The quarantines in the store could not be decoded.',
          { detail },
        ),
      Right: (quarantines) => post({ kind: EntryEventKind.QuarantinesRead, quarantines, version }),
    });
  };
  const applyItem = ({ key, value, version }: StoredItem): void => {
    if (key === EntryKey.Quarantines) {
      applyQuarantines(value ?? '[]', value === null ? 0 : version);
    } else if (key === EntryKey.Controller) {
      holder = value === null ? null : decodeLeaseHolder(value, version);
    } else if (key.startsWith(EntryKey.Vms) && value === null) {
      vms.delete(key);
    } else if (key.startsWith(EntryKey.Vms) && value !== null) {
      decodeListedVm(value).caseOf({
        Left: ({ message }) =>
          writeLog(
            LogLevel.Warn,
            EntryLogPrefix.Peer,
            'The registration of a VM could not be decoded.',
            {
              key,
              detail: message,
            },
          ),
        Right: (vm) => vms.set(key, vm),
      });
    }
  };
  return {
    prefix: EntryKey.Prefix,
    apply: ({ items }, isSnapshot) => {
      if (isSnapshot) {
        vms.clear();
        holder = null;
      }
      items.forEach(applyItem);
      post({ kind: EntryEventKind.VmsRead, vms: [...vms.values()] });
      post({ kind: EntryEventKind.ControllerLeaseRead, holder });
    },
    recordReachability: () => {},
  };
}

/** Creates all watches of an entry VM. Each runs until it is interrupted. */
export function createStoreWatches(context: WatchContext): readonly Effect.Effect<never>[] {
  const { post, wire } = context;
  const configuration: PrefixWatch = {
    prefix: wire.configurationKey,
    apply: ({ items }) => {
      const text = items.findLast(({ key }) => key === wire.configurationKey)?.value ?? null;
      if (text !== null) {
        applyConfiguration(context, text, 'store');
      }
    },
    recordReachability: () => {},
  };
  const backends: PrefixWatch = {
    prefix: wire.backendsPrefix,
    apply: (items, isSnapshot) => applyBackends(context, items, isSnapshot, 'store'),
    recordReachability: (isReachable) =>
      post({ kind: EntryEventKind.StoreReachabilityRead, isReachable }),
  };
  return [configuration, backends, createEntryKeysWatcher(context)].map((watch) =>
    watchPrefix(context, watch),
  );
}
