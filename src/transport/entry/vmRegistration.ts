/**
 * This VM's entry in the store, under a lease: it tells the other VMs of it, and vanishes some seconds after
 * it has gone.
 */
import { Effect } from 'effect';
import type { ListedEntryVm } from '../../coordination/entry/events.js';
import { EntryLogPrefix } from '../../coordination/entry/commands.js';
import { LogLevel } from '../../coordination/events.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import type { PrefixStore } from '../keyValueStore.js';
import type { EntryLogWriter } from './entryLog.js';
import { encodeListedVm, EntryKey } from './storeKeys.js';

/** Longer than most cuts and outages, so that they do not divide the rates anew. */
const LEASE_SECONDS = 8;
const RENEW_MS = 2_000;
const RETRY_MS = 400;

/** The entry as this process keeps it. */
export interface VmRegistration {
  /** Registers and renews until interrupted. */
  readonly run: Effect.Effect<never>;
  /** Ends the entry, if it was made. */
  readonly end: Effect.Effect<void>;
}

/** Creates the registration of a process; nothing is written yet. */
export function createVmRegistration(
  store: PrefixStore,
  vm: ListedEntryVm,
  writeLog: EntryLogWriter,
): VmRegistration {
  const key = EntryKey.Vms + vm.vmId;
  const value = encodeListedVm(vm);
  let leaseId: string | null = null;

  const register: Effect.Effect<void, Diagnostic> = Effect.gen(function* registerVm() {
    const stored = yield* store.get(key);
    const newLeaseId = yield* store.grantLease(LEASE_SECONDS);
    const expectedVersion = stored?.version ?? 0;
    const version = yield* store.swap({ key, expectedVersion, value, leaseId: newLeaseId });
    if (version === null) {
      yield* Effect.fail(createDiagnostic(Diagnostics.StoreUnknown));
    }
    leaseId = newLeaseId;
    writeLog(LogLevel.Info, EntryLogPrefix.Peer, 'This VM is registered.', {
      version: version ?? 0,
    });
  });

  const renew = (heldId: string): Effect.Effect<void, Diagnostic> =>
    Effect.map(store.keepLease(heldId), (isAlive) => {
      if (!isAlive) {
        leaseId = null;
        writeLog(LogLevel.Warn, EntryLogPrefix.Peer, 'The registration of this VM has lapsed.');
      }
    });

  const step = Effect.suspend(() => (leaseId === null ? register : renew(leaseId)));
  const pause = Effect.suspend(() => Effect.sleep(leaseId === null ? 0 : RENEW_MS));
  return {
    run: Effect.forever(
      Effect.matchEffect(step, {
        onFailure: ({ key: reason }) => {
          writeLog(LogLevel.Debug, EntryLogPrefix.Store, 'The registration failed.', { reason });
          return Effect.sleep(RETRY_MS);
        },
        onSuccess: () => pause,
      }),
    ),
    end: Effect.suspend(() => (leaseId === null ? Effect.void : store.endLease(leaseId))).pipe(
      // The lease ends by itself if the store does not answer.
      Effect.orElseSucceed(() => undefined),
    ),
  };
}
