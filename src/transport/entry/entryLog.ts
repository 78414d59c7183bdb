/**
 * The log of an entry VM: JSON lines on standard output. Writing never blocks: lines are kept in memory up
 * to a bound while the reader is slow, and dropped and counted beyond it.
 */
import pino from 'pino';
import type { EntryLogPrefix, LogFields } from '../../coordination/entry/commands.js';
import { LogLevel } from '../../coordination/events.js';

/** Bytes that wait for a slow reader. */
const MAX_BUFFERED_BYTES = 1_048_576;
const DROP_REPORT_MS = 5_000;

/** Writes one line. */
export type EntryLogWriter = (
  level: LogLevel,
  part: EntryLogPrefix,
  text: string,
  fields?: LogFields,
) => void;

type LevelWriter = (logger: pino.Logger, fields: LogFields, text: string) => void;

const LEVEL_WRITERS: Readonly<Record<LogLevel, LevelWriter>> = {
  [LogLevel.Debug]: (logger, fields, text) => logger.debug(fields, text),
  [LogLevel.Info]: (logger, fields, text) => logger.info(fields, text),
  [LogLevel.Warn]: (logger, fields, text) => logger.warn(fields, text),
  [LogLevel.Error]: (logger, fields, text) => logger.error(fields, text),
};

/** The log with its count of lines that were dropped. */
export interface EntryLog {
  readonly write: EntryLogWriter;
  readonly countDropped: () => number;
  /** Writes what is buffered, before the process ends. */
  readonly flush: () => void;
}

/** Creates the log of a process. */
export function createEntryLogWriter(level: string, vmId: string): EntryLog {
  let dropped = 0;
  let reported = 0;
  const destination = pino.destination({ dest: 1, sync: false, maxLength: MAX_BUFFERED_BYTES });
  destination.on('drop', () => {
    dropped += 1;
  });
  const logger = pino({ level, base: { vmId } }, destination);
  const timer = setInterval(() => {
    if (dropped > reported) {
      logger.warn({ dropped: dropped - reported }, '[log] Lines were dropped.');
      reported = dropped;
    }
  }, DROP_REPORT_MS);
  timer.unref();
  return {
    write: (logLevel, part, text, fields = {}) => {
      LEVEL_WRITERS[logLevel](logger, fields, `[${part}] ${text}`);
    },
    countDropped: () => dropped,
    flush: () => destination.flushSync(),
  };
}
