/**
 * Structured logs by winston. Each part has a child log with a fixed prefix; a request or change id
 * goes into the fields so that it can be followed through all processes.
 */
import winston from 'winston';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Log {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** True if messages of the level are written; guards costly fields. */
  enabled(level: LogLevel): boolean;
  /** Log of a part, with its name as the prefix of every message. */
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

/** Creates the log of a process. Lines are JSON on standard error. */
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

/** Log that writes nothing, for tests. */
export const createSilentLog = (): Log => wrap(winston.createLogger({ silent: true }), 'test');
