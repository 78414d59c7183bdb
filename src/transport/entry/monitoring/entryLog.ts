/**
 * Writes the log of an entry VM as JSON lines to standard output, some lines at a time. Writing never blocks: while the
 * reader is slow, lines are buffered in memory up to a limit; lines beyond the limit are dropped and counted.
 */
import pino from 'pino';
import { EntryLogPrefix, type LogFields } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';
import { describeThrown } from '../../thrownValues.js';
import { limitEndStep } from '../lifecycle/endSteps.js';

const MAX_BUFFERED_BYTES = 1_048_576;
/** Lines are written once there are this many bytes, or after the flush interval. */
const WRITE_BYTES = 8_192;
const FLUSH_INTERVAL_MS = 200;
/** Interval at which the number of newly dropped lines is logged. */
const DROP_REPORT_INTERVAL_MS = 5_000;
/** Longest time for which closing waits for a reader of the log that is slow or does not read. */
const CLOSE_TIMEOUT_MS = 500;

/** Writes one log line. The log prefix is written in brackets before the text. */
export type EntryLogWriter = (
  level: LogLevel,
  prefix: EntryLogPrefix,
  text: string,
  fields?: LogFields,
) => void;

/** Logs an error that nothing expected, with its stack. Never throws. */
export function logUnexpectedError(writeLog: EntryLogWriter, error: unknown): void {
  const detail = describeThrown(error);
  writeLog(LogLevel.Error, EntryLogPrefix.Lifecycle, 'An unexpected error was caught.', { detail });
}

type LevelWriter = (logger: pino.Logger, fields: LogFields, text: string) => void;

const LEVEL_WRITERS: Readonly<Record<LogLevel, LevelWriter>> = {
  [LogLevel.Debug]: (logger, fields, text) => logger.debug(fields, text),
  [LogLevel.Info]: (logger, fields, text) => logger.info(fields, text),
  [LogLevel.Warn]: (logger, fields, text) => logger.warn(fields, text),
  [LogLevel.Error]: (logger, fields, text) => logger.error(fields, text),
};

/** A log, and the number of its lines that were dropped. */
export interface EntryLog {
  readonly write: EntryLogWriter;
  readonly countDropped: () => number;
  /**
   * Writes all buffered lines in order; called before the process exits. Resolves once they are written, or after
   * the time that is left or `CLOSE_TIMEOUT_MS`. Lines that are logged later are dropped.
   */
  readonly close: (leftMs?: number) => Promise<void>;
}

/** Creates the log of a process. Lines below the level are not written. */
export function createEntryLogWriter(level: string, vmId: string): EntryLog {
  let droppedCount = 0;
  let reportedCount = 0;
  let isClosed = false;
  const destination = pino.destination({
    // Opening the stream makes a pipe non-blocking. A blocked write would keep a thread, and the process with it, until it is read.
    dest: process.stdout.fd,
    sync: false,
    minLength: WRITE_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
    maxLength: MAX_BUFFERED_BYTES,
  });
  destination.on('drop', () => {
    droppedCount += 1;
  });
  // Without a listener, an error would be thrown, and logged, at each write to a log that cannot be written.
  destination.on('error', () => {
    droppedCount += 1;
  });
  const logger = pino({ level, base: { vmId } }, destination);
  const timer = setInterval(() => {
    if (droppedCount > reportedCount) {
      logger.warn({ dropped: droppedCount - reportedCount }, '[log] Log lines were dropped.');
      reportedCount = droppedCount;
    }
  }, DROP_REPORT_INTERVAL_MS);
  timer.unref();
  return {
    write: (logLevel, prefix, text, fields = {}) => {
      if (!isClosed) {
        LEVEL_WRITERS[logLevel](logger, fields, `[${prefix}] ${text}`);
      }
    },
    countDropped: () => droppedCount,
    // A synchronous flush would overtake a write that is under way, and block while nobody reads.
    close: (leftMs = CLOSE_TIMEOUT_MS) =>
      new Promise((resolve) => {
        isClosed = true;
        clearInterval(timer);
        destination.once('close', resolve);
        setTimeout(
          () => {
            // A destination that is not destroyed is flushed synchronously at the exit.
            destination.destroy();
            // A destination whose reader has gone is never closed.
            resolve();
          },
          limitEndStep(CLOSE_TIMEOUT_MS, leftMs),
        );
        destination.end();
      }),
  };
}
