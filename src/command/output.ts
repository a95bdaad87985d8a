import process from 'node:process';
import {ResultCode} from '../results/result-code.js';
import {resultTable} from '../results/result-table.js';

/** The result of a command. */
export type CommandResult = {
	readonly code: ResultCode;
	/** Printed with `--json`. */
	readonly data: unknown;
	/** Printed without `--json`. */
	readonly text: string;
};

/** Creates the result of a successful command. */
export function success(data: unknown, text: string): CommandResult {
	return {code: ResultCode.Success, data, text};
}

/** Creates the result of a failed command. */
export function failure(code: ResultCode, message: string): CommandResult {
	return {
		code,
		data: {
			code, name: ResultCode[code], message, meaning: resultTable[code].meaning,
		},
		text: `error ${code} (${ResultCode[code]}): ${message}`,
	};
}

/** Prints a result and sets the exit code. Failures go to standard error as text, and to standard output as JSON. */
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

/** Formats rows as a table with aligned columns under a header. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const cells = [header, ...rows.map(row => row.map(String))];
	const widths = header.map((_, column) => Math.max(...cells.map(row => row[column].length)));
	return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n');
}
