import {readFile} from 'node:fs/promises';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {parseLog, type LogEvent} from './parsed-log.js';
import {type CommandResult, failure, success} from './output.js';
import {explainRequestLog} from './request-explanation.js';

const shownElsewhere = new Set(['message', 'instance', 'timestamp', 'level', 'at', 'request']);

function describe(decision: LogEvent): string {
	const fields = Object.entries(decision).filter(([name]) => !shownElsewhere.has(name)).map(([name, value]) => `${name}=${String(value)}`);
	return `${decision.timestamp}  ${decision.instance}  ${decision.message}  ${fields.join(' ')}`;
}

/** `log explain`: prints the life of a request from saved logs, with the cause of its end last. */
export async function explainRequest(id: string, files: readonly string[]): Promise<CommandResult> {
	const texts: string[] = [];
	for (const file of files) {
		try {
			texts.push(await readFile(file, 'utf8')); // eslint-disable-line no-await-in-loop
		} catch (error) {
			return failure(ResultCode.UsageError, `${file} cannot be read: ${getErrorMessage(error)}`);
		}
	}

	const {decisions, unreadable} = parseLog(texts.join('\n'));
	const story = explainRequestLog(decisions, id);
	if (!story) {
		return failure(ResultCode.UsageError, `no line names request ${id}; ${decisions.length} lines were read, ${unreadable} were unreadable`);
	}

	const lines = [
		...story.decisions.map(decision => describe(decision)),
		...(story.beliefs.length > 0 ? ['', 'Servers and dependencies meanwhile:'] : []),
		...story.beliefs.map(decision => describe(decision)),
		'',
		`Cause: ${story.cause}`,
		...(unreadable > 0 ? [`${unreadable} lines were unreadable and left out.`] : []),
	];
	return success({...story, unreadable}, lines.join('\n'));
}
