/**
 * Removes the registration of a VM that ends from the store, within a time limit: the lease expires by itself if the store does
 * not answer.
 */
import { Effect } from 'effect';
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';
import type { VmRegistration } from './vmRegistration.js';

/** Parts of a deregistration. */
export interface DeregistrationOptions {
  readonly registration: VmRegistration;
  readonly timeoutMs: number;
  readonly getNowMs: () => number;
  readonly writeLog: EntryLogWriter;
}

/** Removes the registration, and logs how long that took. Resolves after the time limit at the latest. */
export function deregisterVm(options: DeregistrationOptions): Promise<void> {
  const { getNowMs, registration, timeoutMs, writeLog } = options;
  const startedAtMs = getNowMs();
  const isDone = Effect.timeoutOrElse(Effect.as(registration.deregister, true), {
    duration: timeoutMs,
    orElse: () => Effect.succeed(false),
  });
  return Effect.runPromise(isDone).then((isRemoved) =>
    writeLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'The deregistration has ended.', {
      isRemoved,
      deregistrationMs: getNowMs() - startedAtMs,
    }),
  );
}
