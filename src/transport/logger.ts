/**
 * Creates the logger, which writes JSON lines. The message of each line begins with the `[prefix]` of the component
 * that logs it.
 */
import pino, { type Logger } from 'pino';
import { LogLevel, type LogPrefix } from '../coordination/events.js';

type Fields = Readonly<Record<string, string | number | boolean>>;

/** Writes one log line. */
export type WriteLog = (
  level: LogLevel,
  prefix: LogPrefix,
  message: string,
  fields?: Fields,
) => void;

type LevelWriter = (logger: Logger, fields: Fields, message: string) => void;

const LEVEL_WRITERS: Readonly<Record<LogLevel, LevelWriter>> = {
  [LogLevel.Debug]: (logger, fields, message) => logger.debug(fields, message),
  [LogLevel.Info]: (logger, fields, message) => logger.info(fields, message),
  [LogLevel.Warn]: (logger, fields, message) => logger.warn(fields, message),
  [LogLevel.Error]: (logger, fields, message) => logger.error(fields, message),
};

/** Creates the logger of a process; lines below `level` are dropped. */
export function createLog(level: string, vmId: string): WriteLog {
  const logger = pino({ level, base: { vmId } });
  return (logLevel, prefix, message, fields = {}) => {
    LEVEL_WRITERS[logLevel](logger, fields, `[${prefix}] ${message}`);
  };
}
