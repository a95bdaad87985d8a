import {readFile} from 'node:fs/promises';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {parseLog, type LogEvent} from './parsed-log.js';
import {type CommandResult, failure, success} from './output.js';
import {explainRequestLog} from './request-explanation.js';

/** Fields that are printed first on each line, and fields that are left out. */
const excludedFields = new Set(['message', 'instance', 'timestamp', 'level', 'at', 'request']);

function formatEvent(event: LogEvent): string {
	const fields = Object.entries(event).filter(([name]) => !excludedFields.has(name)).map(([name, value]) => `${name}=${String(value)}`);
	return `${event.timestamp}  ${event.instance}  ${event.message}  ${fields.join(' ')}`;
}

/** `log explain`: prints the events of a request from saved logs, and the cause of its end last. */
export async function explainRequest(id: string, files: readonly string[]): Promise<CommandResult> {
	const texts: string[] = [];
	for (const file of files) {
		try {
			texts.push(await readFile(file, 'utf8')); // eslint-disable-line no-await-in-loop
		} catch (error) {
			return failure(ResultCode.UsageError, `${file} cannot be read: ${getErrorMessage(error)}`);
		}
	}

	const {events, unreadable} = parseLog(texts.join('\n'));
	const explanation = explainRequestLog(events, id);
	if (!explanation) {
		return failure(ResultCode.UsageError, `no line names request ${id}; ${events.length} lines were read, ${unreadable} were unreadable`);
	}

	const lines = [
		...explanation.decisions.map(event => formatEvent(event)),
		...(explanation.beliefs.length > 0 ? ['', 'Server and dependency events during the request:'] : []),
		...explanation.beliefs.map(event => formatEvent(event)),
		'',
		`Cause: ${explanation.cause}`,
		...(unreadable > 0 ? [`${unreadable} lines were unreadable and were skipped.`] : []),
	];
	return success({...explanation, unreadable}, lines.join('\n'));
}
