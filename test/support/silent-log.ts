import winston from 'winston';

/** A logger that writes nothing. */
export const silentLog = winston.createLogger({silent: true, transports: [new winston.transports.Console()]});
