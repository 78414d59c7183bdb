/**
 * The log: JSON lines, each text with the fixed prefix of its part.
 */
import pino, { type Logger } from 'pino';
import { LogLevel, type LogPrefix } from '../coordination/events.js';

type Fields = Readonly<Record<string, string | number | boolean>>;

/** Writes one line. */
export type WriteLog = (level: LogLevel, part: LogPrefix, text: string, fields?: Fields) => void;

type LevelWriter = (logger: Logger, fields: Fields, text: string) => void;

const LEVEL_WRITERS: Readonly<Record<LogLevel, LevelWriter>> = {
  [LogLevel.Debug]: (logger, fields, text) => logger.debug(fields, text),
  [LogLevel.Info]: (logger, fields, text) => logger.info(fields, text),
  [LogLevel.Warn]: (logger, fields, text) => logger.warn(fields, text),
  [LogLevel.Error]: (logger, fields, text) => logger.error(fields, text),
};

/** Creates the log of a process. */
export function createLog(level: string, vmId: string): WriteLog {
  const logger = pino({ level, base: { vmId } });
  return (logLevel, part, text, fields = {}) => {
    LEVEL_WRITERS[logLevel](logger, fields, `[${part}] ${text}`);
  };
}
