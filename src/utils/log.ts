/**
 * Structured logging on top of winston. Each component has a child log with a fixed message prefix.
 * Request and change ids are logged as fields, so that they can be traced across processes.
 */
import winston from 'winston';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Log {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** True if the level is written. Check it before computing expensive fields. */
  enabled(level: LogLevel): boolean;
  /** Creates the child log of a component, whose name prefixes every message. */
  part(name: string): Log;
}

const wrap = (logger: winston.Logger, prefix: string): Log => {
  const write = (level: LogLevel) => (message: string, fields?: LogFields) => {
    logger.log(level, `${prefix}: ${message}`, fields);
  };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
    enabled: (level) => logger.isLevelEnabled(level),
    part: (name) => wrap(logger, name),
  };
};

/** Creates the log of a process, which writes JSON lines to standard error. */
export const createLog = (process: string, level: LogLevel = 'info'): Log => {
  const logger = winston.createLogger({
    level,
    defaultMeta: { process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  return wrap(logger, process);
};

/** Creates a log that discards all messages, for tests. */
export const createSilentLog = (): Log => wrap(winston.createLogger({ silent: true }), 'test');
