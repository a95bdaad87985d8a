import process from 'node:process';
import {ResultCode} from '../results/result-code.js';
import {resultTable} from '../results/result-table.js';

/** What every command ends with. */
export type CommandResult = {
	readonly code: ResultCode;
	/** What `--json` prints. */
	readonly data: unknown;
	/** What people read. */
	readonly text: string;
};

/** A command that was carried out. */
export function success(data: unknown, text: string): CommandResult {
	return {code: ResultCode.Success, data, text};
}

/** A command that failed. */
export function failure(code: ResultCode, message: string): CommandResult {
	return {
		code,
		data: {
			code, name: ResultCode[code], message, meaning: resultTable[code].meaning,
		},
		text: `error ${code} (${ResultCode[code]}): ${message}`,
	};
}

/** Prints a result and sets the exit code; errors of the text form go to standard error. */
export function print(result: CommandResult, isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(result.data));
	} else if (result.code === ResultCode.Success) {
		console.log(result.text);
	} else {
		console.error(result.text);
	}

	process.exitCode = resultTable[result.code].exitCode;
}

/** Lays out rows as columns under a header. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const lines = [header, ...rows.map(row => row.map(String))];
	const widths = header.map((_, column) => Math.max(...lines.map(line => line[column].length)));
	return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n');
}
