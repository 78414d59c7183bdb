/**
 * Handles defects: errors that the code of an effect throws, which no handler of its failures sees.
 */
import { Effect } from 'effect';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import { type EntryLogWriter, logUnexpectedError } from './monitoring/entryLog.js';

/** Logs a defect of an effect and turns it into a failure with `InternalError`. */
export function recoverDefects<A>(
  effect: Effect.Effect<A, Diagnostic>,
  writeLog: EntryLogWriter,
): Effect.Effect<A, Diagnostic> {
  return Effect.catchDefect(effect, (defect) =>
    Effect.suspend(() => {
      logUnexpectedError(writeLog, defect);
      return Effect.fail(createDiagnostic(Diagnostics.InternalError));
    }),
  );
}

/**
 * Runs an effect that reports its result by an event. After a defect, which is logged, `reportDefect` has to report the result
 * that a failed call has.
 */
export function runDetached<A>(
  effect: Effect.Effect<A>,
  writeLog: EntryLogWriter,
  reportDefect: () => void,
): void {
  Effect.runFork(
    Effect.match(recoverDefects(effect, writeLog), {
      onFailure: reportDefect,
      onSuccess: () => {},
    }),
  );
}
