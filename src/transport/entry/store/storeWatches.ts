/**
 * Reads the store and posts what changes as events to the event loop. Keeps its contents as they were written, for the
 * VMs that do not read the store themselves.
 */
import { Effect, Latch } from 'effect';
import type { Either } from 'purify-ts';
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import {
  type BackendChange,
  type EntryEvent,
  EntryEventKind,
} from '../../../coordination/entry/events.js';
import { LogLevel } from '../../../coordination/events.js';
import type { Diagnostic } from '../../../state/diagnostics.js';
import type { Deployment } from '../../../state/entry/deployment.js';
import {
  dropOutdatedItems,
  type IsRegression,
  type StoreMirror,
  updateStoreMirror,
} from '../../../state/entry/storeMirror.js';
import type { StoredItem, StoreUpdate } from '../../../state/storedItems.js';
import { formatStoreRevision, getStoreEra } from '../../../state/storeRevision.js';
import type { PrefixStore } from '../../keyValueStore.js';
import { recoverDefects } from '../defects.js';
import { createEntryKeysReader, type EntryKeysReader } from './entryKeysReader.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';
import { EntryKey } from './storeKeys.js';
import type { MalformedEntries } from './malformedEntries.js';
import type { EntryWire } from '../wire.js';

/** The prefix of all keys. One watch on it takes fewer calls than one on each part of the store. */
const WHOLE_STORE = '';
/** Names the store as the source of what was read, in log lines. */
const STORE_SOURCE = 'store';
/**
 * Delay after a change, so that one call reads several changes in quick succession. It is shorter on the controller,
 * which waits for the changes of each engine.
 */
const BATCH_DELAY_MS = 200;
const CONTROLLER_BATCH_DELAY_MS = 40;
/** Longest time from the end of a call's wait to its answer, for the answer to tell the state of the store now. */
const MAX_ANSWER_AGE_MS = 1_000;
/** Texts of configurations whose decoded form is kept: the one in force and one that is compared with it. */
const MAX_DECODED_CONFIGURATIONS = 2;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 400;

/** Dependencies of the watches. */
export interface WatchContext {
  readonly store: PrefixStore;
  readonly wire: EntryWire;
  readonly post: (event: EntryEvent) => void;
  readonly writeLog: EntryLogWriter;
  readonly nextRandom: () => number;
  readonly decodeConfiguration: ConfigurationDecoder;
  readonly mirror: StoreMirror;
  readonly malformedEntries: MalformedEntries;
  readonly isController: () => boolean;
  readonly getWatchWaitMs: () => number;
  /** Returns the time for which contents of the store count as current after the store has confirmed them. */
  readonly getMaxStoreAgeMs: () => number;
  readonly applyEntryKeys: EntryKeysReader;
  readonly getNowMs: () => number;
  /** Reads the wall clock. */
  readonly getWallMs: () => number;
}

/** Decodes configurations. The same text gives the same object, as long as it is one of the latest. */
export type ConfigurationDecoder = (text: string) => Either<Diagnostic, Deployment>;

/** Creates a decoder that keeps the latest configurations. */
export function createConfigurationDecoder({
  decodeConfiguration,
}: EntryWire): ConfigurationDecoder {
  let decoded: readonly (readonly [string, Either<Diagnostic, Deployment>])[] = [];
  return (text) => {
    const result = decoded.find(([known]) => known === text)?.[1] ?? decodeConfiguration(text);
    const others = decoded.filter(([known]) => known !== text);
    const latest = [text, result] as const;
    decoded = [latest, ...others].slice(0, MAX_DECODED_CONFIGURATIONS);
    return result;
  };
}

/**
 * Creates the check for configurations that must not replace the one that a mirror has: those with an earlier version, and
 * those that are not valid.
 */
export function createConfigurationGuard(
  { configurationKey }: EntryWire,
  decode: ConfigurationDecoder,
): IsRegression {
  const getVersion = (text: string | null): number =>
    decode(text ?? '').caseOf({
      Left: () => Number.NEGATIVE_INFINITY,
      Right: ({ version }) => version,
    });
  return (known, read) =>
    read.key === configurationKey && getVersion(read.value) < getVersion(known.value);
}

/** Decodes a configuration and posts it to the event loop. */
function applyConfiguration(
  context: WatchContext,
  text: string,
  revision: number,
  source: string,
): void {
  const { decodeConfiguration, malformedEntries, post, wire } = context;
  const key = wire.configurationKey;
  decodeConfiguration(text).caseOf({
    Left: ({ message: detail }) =>
      malformedEntries.add({
        key,
        prefix: EntryLogPrefix.Configuration,
        text: 'The configuration could not be decoded.',
        detail,
      }),
    Right: (deployment) => {
      malformedEntries.remove(key);
      post({ kind: EntryEventKind.ConfigurationRead, deployment, revision, source });
    },
  });
}

function decodeBackendChanges(
  context: WatchContext,
  items: readonly StoredItem[],
): BackendChange[] {
  const { malformedEntries, wire } = context;
  return items.flatMap((item): BackendChange[] => {
    const id = item.key.slice(wire.backendsPrefix.length);
    const { value, version: revision } = item;
    if (value === null) {
      malformedEntries.remove(item.key);
      return [{ id, revision, entry: null }];
    }
    return wire.decodeBackendEntry(item.key, value).caseOf<BackendChange[]>({
      Left: ({ message: detail }) => {
        malformedEntries.add({
          key: item.key,
          prefix: EntryLogPrefix.Backend,
          text: 'The entry of a backend server could not be decoded.',
          detail,
        });
        return [{ id, revision, entry: null }];
      },
      Right: (entry) => {
        malformedEntries.remove(item.key);
        return [{ id, revision, entry }];
      },
    });
  });
}

/** Creates the context of the reads of the store. */
export function createWatchContext(context: Omit<WatchContext, 'applyEntryKeys'>): WatchContext {
  return { ...context, applyEntryKeys: createEntryKeysReader(context) };
}

/** Returns an update without the origins of streams, which VMs read only when they need them. */
function dropStreamBatches(update: StoreUpdate): StoreUpdate {
  const items = update.items.filter(({ key }) => !key.startsWith(EntryKey.Streams));
  return { ...update, items };
}

/**
 * Applies an update from the store or a relay to the mirror, and posts what it contains to the event loop. Returns false for
 * one that is older than the mirror, of which only the configuration is used: that has a version of its own.
 */
export function applyStoreUpdate(
  context: WatchContext,
  received: StoreUpdate,
  source: string,
): boolean {
  const { applyEntryKeys, malformedEntries, mirror, post, wire, writeLog } = context;
  const update = dropOutdatedItems(dropStreamBatches(received));
  const { isSnapshot, items, revision } = update;
  const knownRevision = mirror.revision;
  const isApplied = updateStoreMirror(mirror, update);
  if (isApplied && knownRevision > 0 && getStoreEra(revision) > getStoreEra(knownRevision)) {
    post({ kind: EntryEventKind.StoreRestored, revision, knownRevision, source });
  }
  const configuration = items.findLast(({ key }) => key === wire.configurationKey);
  if (configuration !== undefined && configuration.value !== null) {
    applyConfiguration(context, configuration.value, configuration.version, source);
  }
  if (!isApplied) {
    const text = 'An update of the store was ignored because it is older.';
    writeLog(LogLevel.Info, EntryLogPrefix.Store, text, {
      revision: formatStoreRevision(revision),
      knownRevision: formatStoreRevision(knownRevision),
      isSnapshot,
      source,
    });
    return false;
  }
  if (isSnapshot) {
    malformedEntries.retain(new Set(items.map(({ key }) => key)));
  }
  const evacuationItems = items.filter(({ key }) => key.startsWith(wire.evacuationsPrefix));
  if (isSnapshot || evacuationItems.length > 0) {
    const changes = evacuationItems.map(({ key, value, version }) => ({
      failureDomain: key.slice(wire.evacuationsPrefix.length),
      revision: version,
      isEvacuated: value !== null,
    }));
    post({ kind: EntryEventKind.EvacuationsRead, isSnapshot, changes, revision, source });
  }
  const backendItems = items.filter(({ key }) => key.startsWith(wire.backendsPrefix));
  if (isSnapshot || backendItems.length > 0) {
    const changes = decodeBackendChanges(context, backendItems);
    post({ kind: EntryEventKind.BackendsRead, isSnapshot, changes, revision, source });
  }
  const entryItems = items.filter(({ key }) => key.startsWith(EntryKey.Prefix));
  if (isSnapshot || entryItems.length > 0) {
    applyEntryKeys(entryItems, isSnapshot);
  }
  if (revision !== knownRevision) {
    post({ kind: EntryEventKind.StoreContentsRead, revision, ageMs: null });
  }
  return true;
}

/** Reads the whole store, then waits for its changes; reads it again if the store has dropped changes. */
function readStore(context: WatchContext, access: StoreAccess): Effect.Effect<void, Diagnostic> {
  const { getNowMs, getWatchWaitMs, isController, mirror, store } = context;
  return Effect.gen(function* readStep() {
    if (mirror.revision === 0 || access.isListNeeded) {
      const isRepeated = access.isListNeeded;
      const startedAtMs = getNowMs();
      const recordSuccess = access.startCall(0);
      const items = yield* store.list(WHOLE_STORE);
      access.isListNeeded = false;
      const isValid = recordSuccess();
      const isApplied = applyStoreUpdate(context, { ...items, isSnapshot: true }, STORE_SOURCE);
      if (isApplied && isValid) {
        access.recordKnown(getNowMs() - startedAtMs);
      }
      if (!isApplied || isRepeated) {
        yield* Effect.sleep(isApplied ? MIN_RETRY_DELAY_MS : MAX_RETRY_DELAY_MS);
      }
      return;
    }
    const waitMs = getWatchWaitMs();
    const startedAtMs = getNowMs();
    const recordSuccess = access.startCall(waitMs);
    const changes = yield* store.waitForChanges(WHOLE_STORE, mirror.revision, waitMs);
    const isValid = recordSuccess();
    access.isListNeeded = changes === null;
    const durationMs = getNowMs() - startedAtMs;
    const isApplied =
      changes !== null &&
      applyStoreUpdate(context, { ...changes, isSnapshot: false }, STORE_SOURCE);
    if (isApplied && isValid) {
      // An answer with changes may have been held up on its way; one without any was given after the wait.
      const isWholeWait = changes.items.length === 0 && durationMs >= waitMs;
      access.recordKnown(durationMs - (isWholeWait ? waitMs : 0));
    }
    if (changes !== null && changes.items.length > 0) {
      yield* Effect.sleep(isController() ? CONTROLLER_BATCH_DELAY_MS : BATCH_DELAY_MS);
    } else if (getNowMs() - startedAtMs < waitMs / 2) {
      // A watch that ends early and tells nothing would be called again without a pause.
      yield* Effect.sleep(MIN_RETRY_DELAY_MS);
    }
  });
}

/** This VM's own access to the store. */
export interface StoreAccess {
  /** Starts or stops to read the store. */
  readonly setReader: (isReader: boolean) => void;
  /** Returns true unless this VM's last call to the store failed, or the store has not confirmed its contents for too long. */
  readonly isCurrent: () => boolean;
  /** Returns the time at which the store last confirmed its contents, also to a relay; not finite if it has not. */
  readonly getConfirmedAtMs: () => number;
  /** Records that the relay has sent current contents, which the store has confirmed this long ago. */
  readonly recordRelayed: (ageMs: number) => void;
  /** Records that the mirror has all that the store had this long ago, and tells the event loop. */
  readonly recordKnown: (ageMs: number) => void;
  /** Returns the time since the latest such moment; undefined if none is known. */
  readonly getKnownAgeMs: () => number | undefined;
  /** Requires a call that starts and succeeds after this before the mirror counts as current again. */
  readonly invalidate: () => void;
  /** True if the store has dropped changes that the mirror lacks. */
  isListNeeded: boolean;
  /**
   * Returns the function that records the success of a call that starts now and may wait for some time. An answer that is
   * read much later than that is old: this VM was frozen, and found it when it went on. The function returns false then.
   */
  readonly startCall: (waitMs: number) => () => boolean;
  /** Reads the store while this VM is a reader, until it is interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Creates the access to the store, which is not used before `setReader`. */
export function createStoreAccess(context: WatchContext): StoreAccess {
  const { getMaxStoreAgeMs, getNowMs, nextRandom, post, writeLog } = context;
  const gate = Latch.makeUnsafe(false);
  let isReader = false;
  let isConfirmed = false;
  let invalidationCount = 0;
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let knownAtMs = Number.NEGATIVE_INFINITY;
  const recordReachability = (isReachable: boolean): void => {
    isConfirmed = isReachable;
    confirmedAtMs = isReachable ? getNowMs() : confirmedAtMs;
    if (isReader) {
      post({ kind: EntryEventKind.StoreReachabilityRead, isReachable, ageMs: 0 });
    }
  };
  const waitBeforeRetry = Effect.suspend(() => {
    recordReachability(false);
    return Effect.sleep(
      MIN_RETRY_DELAY_MS + nextRandom() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS),
    );
  });
  const access: StoreAccess = {
    setReader: (isReaderNow) => {
      isReader = isReaderNow;
      if (isReader) {
        gate.openUnsafe();
      } else {
        gate.closeUnsafe();
      }
    },
    isCurrent: () => isConfirmed && getNowMs() - confirmedAtMs < getMaxStoreAgeMs(),
    getConfirmedAtMs: () => confirmedAtMs,
    recordRelayed: (ageMs) => {
      isConfirmed = true;
      confirmedAtMs = Math.max(confirmedAtMs, getNowMs() - ageMs);
    },
    recordKnown: (ageMs) => {
      knownAtMs = Math.max(knownAtMs, getNowMs() - ageMs);
      post({
        kind: EntryEventKind.StoreContentsRead,
        revision: context.mirror.revision,
        ageMs: getNowMs() - knownAtMs,
      });
    },
    getKnownAgeMs: () => (Number.isFinite(knownAtMs) ? getNowMs() - knownAtMs : undefined),
    invalidate: () => {
      invalidationCount += 1;
      isConfirmed = false;
      confirmedAtMs = Number.NEGATIVE_INFINITY;
      knownAtMs = Number.NEGATIVE_INFINITY;
    },
    isListNeeded: false,
    startCall: (waitMs) => {
      const countAtStart = invalidationCount;
      const latestAtMs = getNowMs() + waitMs + MAX_ANSWER_AGE_MS;
      return () => {
        const isValid = invalidationCount === countAtStart && getNowMs() <= latestAtMs;
        if (isValid) {
          recordReachability(true);
        }
        return isValid;
      };
    },
    run: Effect.forever(
      gate.whenOpen(
        Effect.matchEffect(
          recoverDefects(
            Effect.suspend(() => readStore(context, access)),
            writeLog,
          ),
          { onFailure: () => waitBeforeRetry, onSuccess: () => Effect.void },
        ),
      ),
    ),
  };
  return access;
}
