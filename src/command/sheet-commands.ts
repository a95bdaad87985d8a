import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {computeDifference} from '../configuration/sheet-difference.js';
import {parseSheet} from '../configuration/sheet-parser.js';
import {type SheetProblem} from '../configuration/sheet-problem.js';
import {getRowKey} from '../configuration/sheet-row.js';
import {Sheet} from '../configuration/sheet.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {callInstance, type ConnectionOptions, toCommandResult} from './connection.js';
import {
	type CommandResult, failure, formatTable, success,
} from './output.js';

/** Length of an ISO timestamp up to its minutes. */
const isoMinuteLength = 16;

function createInvalidSheetResult(file: string, problems: readonly SheetProblem[]): CommandResult {
	const lines = problems.map(({line, column, message}) => `${file}:${line}: ${column}: ${message}`);
	return {
		code: ResultCode.SheetInvalid,
		data: {code: ResultCode.SheetInvalid, name: ResultCode[ResultCode.SheetInvalid], problems},
		text: [...lines, `${problems.length} problems; no part of the sheet is in force`].join('\n'),
	};
}

async function readFileAndRun(file: string, work: (text: string) => Promise<CommandResult> | CommandResult): Promise<CommandResult> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return failure(ResultCode.UsageError, `${file} cannot be read: ${getErrorMessage(error)}`);
	}

	return work(text);
}

/** `sheet check`: reports all problems of a sheet file. */
export async function checkSheet(file: string): Promise<CommandResult> {
	return readFileAndRun(file, text => {
		const {sheet, problems} = parseSheet(text);
		if (!sheet) {
			return createInvalidSheetResult(file, problems);
		}

		const counts = {workspaces: sheet.getWorkspaces().length, services: sheet.getServices().length, rows: sheet.rows.size};
		return success({...counts, digest: sheet.digest}, `${file}: ${counts.workspaces} workspaces, ${counts.services} services, ${counts.rows} rows; no problems`);
	});
}

/** `sheet submit`: submits a sheet file to replace the version that the planner saw. */
export async function submitSheet(options: ConnectionOptions, file: string, seen: number, planner: string): Promise<CommandResult> {
	return readFileAndRun(file, async text => callInstance(options, async client => {
		const reply = await client.submitSheet.mutate({
			text, seen, planner, id: randomUUID(),
		});
		return toCommandResult(reply, result => {
			if (result.problems.length > 0) {
				return createInvalidSheetResult(file, result.problems);
			}

			const state = result.isUnchanged ? 'was in force already' : 'is accepted';
			return success(result, `${file} ${state} as version ${result.version}; in force at ${result.inForce} of ${result.instances} instances`);
		});
	}));
}

/** `sheet show`: prints the sheet in force. */
export async function showSheet(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => {
		const shown = await client.showSheet.query();
		const rows = shown.rows.map(row => [row.kind, row.name, 'service' in row ? row.service : '', Object.entries(row)
			.filter(([name]) => !['kind', 'name', 'service', 'keyDigest'].includes(name))
			.map(([name, value]) => `${name}=${String(value)}`).join(' ')]);
		return success(shown, `version ${shown.version}\n${formatTable(['kind', 'name', 'service', 'values'], rows)}`);
	});
}

/** `sheet history`: prints who changed the sheet, and when. */
export async function showHistory(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => toCommandResult(await client.history.query(), history => success(history, formatTable(
		['version', 'accepted', 'planner', 'changed', 'removed'],
		history.map(({version, at, planner, difference}) => [
			version, new Date(at).toISOString().slice(0, isoMinuteLength), planner, difference.put.length, difference.removed.length,
		]),
	))));
}

/** `sheet diff`: prints what a sheet file would change. */
export async function diffSheet(options: ConnectionOptions, file: string): Promise<CommandResult> {
	return readFileAndRun(file, async text => {
		const {sheet, problems} = parseSheet(text);
		if (!sheet) {
			return createInvalidSheetResult(file, problems);
		}

		return callInstance(options, async client => {
			const shown = await client.showSheet.query();
			const current = new Sheet(shown.rows);
			const difference = computeDifference(current, sheet);
			const lines = [
				...difference.put.map(row => `${current.rows.has(getRowKey(row)) ? 'change' : 'add'} ${getRowKey(row)}`),
				...difference.removed.map(key => `remove ${key}`),
			];
			return success({seen: shown.version, ...difference}, lines.length === 0 ? `no difference from version ${shown.version}` : [`against version ${shown.version}:`, ...lines].join('\n'));
		});
	});
}
