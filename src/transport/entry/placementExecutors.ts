/**
 * Executes the commands of the controller: its lease, orders to engines, requests for their reports, and the quarantines
 * that it writes to the store.
 */
import { Effect } from 'effect';
import { EntryCommandKind, EntryLogPrefix } from '../../coordination/entry/commands.js';
import { EngineOrderOutcome } from '../../coordination/entry/engineOrder.js';
import { EntryEventKind } from '../../coordination/entry/events.js';
import { LogLevel } from '../../coordination/events.js';
import { type LeaseResult, NOT_ACQUIRED } from '../controllerLease.js';
import { callHttp } from '../httpCall.js';
import type { EntryCommandContext, ExecutorTable } from './commandContext.js';
import { runDetached } from './defects.js';
import { postStatement } from './servers/serverStatements.js';
import { encodeQuarantines, EntryKey } from './store/storeKeys.js';

/** Engines respond within milliseconds. One that has not responded by then is slow or cut off. */
const ENGINE_TIMEOUT_MS = 1_000;
/** Longest reply of an engine. The controller calls all engines at once. */
export const MAX_ENGINE_RESPONSE_BYTES = 262_144;
const HTTP_OK = 200;

/** The commands of the controller. */
export type PlacementKind =
  | typeof EntryCommandKind.AcquireControllerLease
  | typeof EntryCommandKind.RenewControllerLease
  | typeof EntryCommandKind.ReleaseControllerLease
  | typeof EntryCommandKind.SendOrder
  | typeof EntryCommandKind.StoreQuarantines
  | typeof EntryCommandKind.ReadEngineReport;
/** Creates the executors of the controller's commands. */
export function createPlacementExecutors(
  context: EntryCommandContext,
): Pick<ExecutorTable, PlacementKind> {
  const { controllerLease, controllerLeaseMs, getNowMs, post, self, suspension, wire } = context;
  const { watches, writeLog } = context;
  const logFailedWrite = (reason: string): void => {
    const text = 'The quarantines were not written to the store.';
    writeLog(LogLevel.Info, EntryLogPrefix.Quarantine, text, { reason });
  };
  const acquireOrRenew = (isHeld: boolean): void => {
    const getAgeMs = suspension.startStopwatch();
    const lease = controllerLease.acquireOrRenew(
      EntryKey.ControllerScope,
      controllerLeaseMs,
      isHeld,
    );
    const kind = EntryEventKind.ControllerLeaseAnswered;
    // The lease also ran out while this VM was suspended, which its clock does not show.
    const report = (result: LeaseResult): void =>
      post({ kind, ...result, sentAtMs: getNowMs() - getAgeMs(), isRenewal: isHeld });
    runDetached(Effect.map(lease, report), writeLog, () => report(NOT_ACQUIRED));
  };
  return {
    [EntryCommandKind.AcquireControllerLease]: () => acquireOrRenew(false),
    [EntryCommandKind.RenewControllerLease]: () => acquireOrRenew(true),
    [EntryCommandKind.ReleaseControllerLease]: ({ fence }) =>
      runDetached(controllerLease.release(fence), writeLog, () => {}),
    [EntryCommandKind.SendOrder]: (command) => {
      const { address, backendId, bornAtWallMs, fence, order, validUntilMs } = command;
      const kind = EntryEventKind.OrderAnswered;
      const mayBeExpired = suspension.check() > 0 || getNowMs() >= validUntilMs;
      if (mayBeExpired) {
        post({ kind, backendId, order, outcome: EngineOrderOutcome.Rejected });
        return;
      }
      const call = callHttp({
        address,
        method: 'POST',
        path: wire.engineOrderPath,
        body: wire.encodeEngineOrder(order, self.vmId, fence),
        headers: wire.encodeEngineRequestHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
        maxResponseBytes: MAX_ENGINE_RESPONSE_BYTES,
        usesNewConnection: true,
      });
      const { Rejected, Unknown } = EngineOrderOutcome;
      const report = (outcome: EngineOrderOutcome): void =>
        post({ kind, backendId, order, outcome });
      runDetached(
        Effect.match(call, {
          onFailure: ({ mayHaveRun }) => report(mayHaveRun ? Unknown : Rejected),
          onSuccess: ({ headers, status }) => {
            const source = { backendId, bornAtWallMs, requestName: wire.engineOrderPath };
            postStatement(post, wire.decodeServerStatement(status, headers), source);
            report(wire.decodeEngineOrderStatus(status));
          },
        }),
        writeLog,
        () => report(Unknown),
      );
    },
    [EntryCommandKind.StoreQuarantines]: ({ expectedVersion, quarantines }) => {
      const value = encodeQuarantines(quarantines, watches.getWallMs());
      const key = EntryKey.Quarantines;
      const write = watches.store.compareAndSwap({ key, expectedVersion, value, leaseId: null });
      runDetached(
        Effect.match(write, {
          onFailure: ({ key: reason }) => logFailedWrite(reason),
          onSuccess: (version) => {
            if (version === null) {
              logFailedWrite('outdated');
            }
          },
        }),
        writeLog,
        () => {},
      );
    },
    [EntryCommandKind.ReadEngineReport]: ({ address, backendId, bornAtWallMs }) => {
      const kind = EntryEventKind.EngineReported;
      const call = callHttp({
        address,
        method: 'GET',
        path: wire.engineReportPath,
        body: null,
        headers: wire.encodeEngineRequestHead(backendId),
        timeoutMs: ENGINE_TIMEOUT_MS,
        maxResponseBytes: MAX_ENGINE_RESPONSE_BYTES,
      });
      runDetached(
        Effect.match(call, {
          onFailure: () => post({ kind, backendId, report: null }),
          onSuccess: ({ headers, status, text }) => {
            const source = { backendId, bornAtWallMs, requestName: wire.engineReportPath };
            postStatement(post, wire.decodeServerStatement(status, headers), source);
            const report =
              status === HTTP_OK ? wire.decodeEngineReport(text).toMaybe().extractNullable() : null;
            post({ kind, backendId, report });
          },
        }),
        writeLog,
        () => post({ kind, backendId, report: null }),
      );
    },
  };
}
