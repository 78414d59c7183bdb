/**
 * Lists the quarantines in the store and lifts one of them, for operators.
 */
import { Effect } from 'effect';
import { type Quarantine, QuarantineStatus } from '../../../state/entry/crashEvidence.js';
import { getQuarantineKey } from '../../../state/entry/quarantineTable.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { KeyValueStore } from '../../keyValueStore.js';
import { decodeQuarantines, encodeQuarantines, EntryKey } from './storeKeys.js';

interface StoredQuarantines {
  readonly quarantines: readonly Quarantine[];
  readonly version: number;
}

function readQuarantines(
  store: KeyValueStore,
  wallMs: number,
): Effect.Effect<StoredQuarantines, Diagnostic> {
  return Effect.flatMap(store.get(EntryKey.Quarantines), (stored) =>
    stored === null
      ? Effect.succeed({ quarantines: [], version: 0 })
      : decodeQuarantines(stored.value, wallMs).caseOf<
          Effect.Effect<StoredQuarantines, Diagnostic>
        >({
          Left: (diagnostic) => Effect.fail(diagnostic),
          Right: ({ quarantines }) => Effect.succeed({ quarantines, version: stored.version }),
        }),
  );
}

/** Returns a line for each quarantine in the store: status, service, causes, crashes and their ages. */
export function listQuarantines(
  store: KeyValueStore,
  wallMs: number,
): Effect.Effect<string[], Diagnostic> {
  return Effect.map(readQuarantines(store, wallMs), ({ quarantines }) =>
    quarantines.map(({ causes, crashCount, firstCrashAtMs, lastCrashAtMs, service, status }) => {
      const since = new Date(wallMs + firstCrashAtMs).toISOString();
      const last = new Date(wallMs + lastCrashAtMs).toISOString();
      return `${status} ${service} ${causes.join('+')} crashes=${crashCount} since=${since} last=${last}`;
    }),
  );
}

/** Releases a quarantine in the store, from where all VMs learn it. Fails with `UnknownReference` if it is not there. */
export function liftQuarantine(
  store: KeyValueStore,
  service: string,
  causes: readonly string[],
  wallMs: number,
): Effect.Effect<void, Diagnostic> {
  return Effect.gen(function* lift() {
    const { quarantines, version } = yield* readQuarantines(store, wallMs);
    const key = getQuarantineKey({ service, causes: [...causes].sort() });
    const isNamed = (quarantine: Quarantine): boolean => getQuarantineKey(quarantine) === key;
    if (!quarantines.some(isNamed)) {
      yield* Effect.fail(createDiagnostic(Diagnostics.UnknownReference, key, 'quarantine'));
    }
    const changed = quarantines.map((quarantine) =>
      isNamed(quarantine) ? { ...quarantine, status: QuarantineStatus.Released } : quarantine,
    );
    const newVersion = yield* store.compareAndSwap({
      key: EntryKey.Quarantines,
      expectedVersion: version,
      value: encodeQuarantines(changed, wallMs),
      leaseId: null,
    });
    if (newVersion === null) {
      yield* Effect.fail(createDiagnostic(Diagnostics.StoreRejected, 'conflict'));
    }
  });
}
