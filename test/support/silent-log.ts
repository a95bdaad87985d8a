import winston from 'winston';

/** Logger that discards everything. */
export const silentLog = winston.createLogger({silent: true, transports: [new winston.transports.Console()]});
