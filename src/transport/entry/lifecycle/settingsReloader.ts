/**
 * Reads the settings again on request, one reading at a time. A file that cannot be read or is wrong may be one that is being
 * written: it is read again after a moment, and then at longer intervals until it is right. The current settings hold meanwhile.
 */
import type { Either } from 'purify-ts';
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';
import type { Diagnostic } from '../../../state/diagnostics.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';
import type { EntrySettings } from '../settings.js';

const RETRY_DELAY_MS = 100;
/** Readings that follow each other after a moment. */
const MAX_QUICK_READINGS = 50;
const SLOW_RETRY_DELAY_MS = 5_000;

/** What a reloader reads and applies. */
export interface SettingsReloaderOptions {
  readonly read: () => Promise<Either<Diagnostic, EntrySettings>>;
  readonly apply: (settings: EntrySettings) => void;
  readonly writeLog: EntryLogWriter;
}

/** Creates the function that requests a reload. */
export function createSettingsReloader(options: SettingsReloaderOptions): () => void {
  const { apply, read, writeLog } = options;
  let isReading = false;
  let isRequestedAgain = false;
  let failedReadingCount = 0;
  let retryTimer: NodeJS.Timeout | undefined;

  const readAndApply = async (): Promise<void> => {
    isReading = true;
    const settings = await read();
    isReading = false;
    // What was read before the last request may be out of date.
    if (isRequestedAgain) {
      isRequestedAgain = false;
      failedReadingCount = 0;
      await readAndApply();
      return;
    }
    settings.caseOf({
      Left: ({ message: detail }) => {
        failedReadingCount += 1;
        if (failedReadingCount === MAX_QUICK_READINGS) {
          const text = 'The settings could not be reloaded.';
          writeLog(LogLevel.Error, EntryLogPrefix.Lifecycle, text, { detail });
        }
        const isQuick = failedReadingCount < MAX_QUICK_READINGS;
        retryTimer = setTimeout(readAndApply, isQuick ? RETRY_DELAY_MS : SLOW_RETRY_DELAY_MS);
      },
      Right: apply,
    });
  };

  return () => {
    if (isReading) {
      isRequestedAgain = true;
      return;
    }
    clearTimeout(retryTimer);
    failedReadingCount = 0;
    void readAndApply();
  };
}
