import {type Writable} from 'node:stream';
import winston, {type Logger} from 'winston';

/** Format of log lines. */
export enum LogFormat {
	Json = 'json',
	Text = 'text',
}

const secretPattern = /sk-sn-[\w\-]+|Bearer\s+\S+/gv;

/** Replaces API keys and bearer tokens in a text. */
export function redact(text: string): string {
	return text.replaceAll(secretPattern, '[redacted]');
}

const redaction = winston.format(info => {
	info.message = redact(String(info.message));
	return info;
});

/**
Creates the root logger of a process, which writes to standard error.

@param level - minimum severity that is written, such as `info`
@param format - JSON or text
@param instance - id of the instance, added to each line
*/
export function createLog(level: string, format: LogFormat, instance: string): Logger {
	const {combine, timestamp, json, printf} = winston.format;
	const text = printf(info => `${String(info.timestamp)} ${info.level} ${instance} ${String(info.part)}: ${String(info.message)}`);
	return winston.createLogger({
		level,
		defaultMeta: {instance},
		format: combine(redaction(), timestamp(), format === LogFormat.Json ? json() : text),
		transports: [new winston.transports.Console({stderrLevels: Object.keys(winston.config.npm.levels)})],
	});
}

/** Creates the logger of a component; its lines carry the component's name in the field `part`. */
export function createPartLog(log: Logger, part: string): Logger {
	return log.child({part});
}

/**
Creates the root logger of a process, which writes JSON lines to a stream.

@param level - minimum severity that is written, such as `info`
@param stream - stream to write the lines to
@param instance - id of the instance, added to each line
*/
export function createStructuredLog(level: string, stream: Writable, instance: string): Logger {
	const {combine, timestamp, json} = winston.format;
	return winston.createLogger({
		level,
		defaultMeta: {instance},
		format: combine(redaction(), timestamp(), json()),
		transports: [new winston.transports.Stream({stream, eol: '\n'})],
	});
}
