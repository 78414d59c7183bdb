/**
 * Executes the commands that write the origins of streams to the store and read those of all VMs.
 */
import { Effect } from 'effect';
import { EntryCommandKind, EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { EntryEventKind } from '../../../coordination/entry/events.js';
import { LogLevel } from '../../../coordination/events.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { StreamGroup } from '../../../state/entry/streamOrigins.js';
import type { StoredItem } from '../../../state/storedItems.js';
import type { EntryCommandContext, ExecutorTable } from '../commandContext.js';
import { runDetached } from '../defects.js';
import {
  decodeStreamGroups,
  encodeStreamGroups,
  EntryKey,
  getStreamBatchKey,
} from './storeKeys.js';

/** Requests wait for the read, and can go to another VM. */
const READ_TIMEOUT_MS = 500;
const MS_PER_SECOND = 1_000;
/** The longest lease that the platform grants. */
const MAX_LEASE_SECONDS = 600;

/** The commands of the origins of streams. */
export type StreamOriginKind =
  typeof EntryCommandKind.WriteStreamOrigins | typeof EntryCommandKind.ReadStreamOrigins;

interface BatchLease {
  readonly leaseId: string;
  readonly grantedAtMs: number;
}

/** Creates the executors. */
export function createStreamOriginExecutors(
  context: EntryCommandContext,
): Pick<ExecutorTable, StreamOriginKind> {
  const { getNowMs, post, self, watches, writeLog } = context;
  const { getWallMs, store } = watches;
  let lease: BatchLease | null = null;

  /** Returns a lease that keeps its keys for the life of a stream: each lasts for two, and is used for the first one. */
  const getLease = (lifeMs: number): Effect.Effect<string, Diagnostic> =>
    Effect.suspend(() => {
      if (lease !== null && getNowMs() - lease.grantedAtMs < lifeMs) {
        return Effect.succeed(lease.leaseId);
      }
      const grantedAtMs = getNowMs();
      const seconds = Math.min(MAX_LEASE_SECONDS, Math.ceil((lifeMs * 2) / MS_PER_SECOND));
      return Effect.map(store.grantLease(seconds), (leaseId) => {
        lease = { leaseId, grantedAtMs };
        return leaseId;
      });
    });

  const decodeItem = ({ key, value }: StoredItem): readonly StreamGroup[] =>
    decodeStreamGroups(value ?? '', getWallMs()).caseOf<readonly StreamGroup[]>({
      Left: ({ message: detail }) => {
        const text = 'A batch of origins of streams could not be decoded.';
        writeLog(LogLevel.Info, EntryLogPrefix.Store, text, { key, detail });
        return [];
      },
      Right: (groups) => groups,
    });

  return {
    [EntryCommandKind.WriteStreamOrigins]: ({ batch, expectedVersion, groups, lifeMs }) => {
      const kind = EntryEventKind.StreamOriginsWritten;
      const key = getStreamBatchKey(self.vmId, self.incarnation, batch);
      const value = encodeStreamGroups(groups, getWallMs());
      const reportFailure = (reason: string): void => {
        lease = null;
        const text = 'Origins of streams were not written to the store.';
        writeLog(LogLevel.Info, EntryLogPrefix.Store, text, { key, reason });
        post({ kind, version: null });
      };
      const write = Effect.flatMap(getLease(lifeMs), (leaseId) =>
        store.compareAndSwap({ key, expectedVersion, value, leaseId }),
      );
      runDetached(
        Effect.match(write, {
          onFailure: ({ key: reason }) => reportFailure(reason),
          onSuccess: (version) =>
            version === null ? reportFailure('version') : post({ kind, version }),
        }),
        writeLog,
        () => reportFailure('error'),
      );
    },
    [EntryCommandKind.ReadStreamOrigins]: () => {
      const kind = EntryEventKind.StreamOriginsRead;
      const read = Effect.timeoutOrElse(store.list(EntryKey.Streams), {
        duration: READ_TIMEOUT_MS,
        orElse: () => Effect.fail(createDiagnostic(Diagnostics.StoreUnavailable)),
      });
      const reportFailure = (reason: string): void => {
        const text = 'Origins of streams were not read from the store.';
        writeLog(LogLevel.Info, EntryLogPrefix.Store, text, { reason });
        post({ kind, groups: null, revision: 0 });
      };
      runDetached(
        Effect.match(read, {
          onFailure: ({ key: reason }) => reportFailure(reason),
          onSuccess: ({ items, revision }) =>
            post({ kind, groups: items.flatMap(decodeItem), revision }),
        }),
        writeLog,
        () => reportFailure('error'),
      );
    },
  };
}
