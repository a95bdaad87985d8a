import {parse} from 'csv-parse/sync';
import * as z from 'zod';
import {checkRows} from './sheet-checks.js';
import {sheetColumns} from './sheet-columns.js';
import {type SheetProblem} from './sheet-problem.js';
import {parseRow, SheetRowReader} from './sheet-row-reader.js';
import {Sheet} from './sheet.js';

const columnNames: readonly string[] = sheetColumns;

/** Result of parsing a sheet: the sheet if it has no problems, otherwise all problems. */
export type SheetParseResult = {
	readonly sheet?: Sheet;
	readonly problems: readonly SheetProblem[];
};

const recordsSchema = z.array(z.object({record: z.array(z.string()), info: z.object({lines: z.number()})}));

type CsvRecord = z.infer<typeof recordsSchema>[number];

function checkHeader(header: readonly string[], problems: SheetProblem[]): void {
	for (const [index, name] of header.entries()) {
		if (!columnNames.includes(name)) {
			problems.push({line: 1, column: name, message: `unknown column; allowed are ${sheetColumns.join(', ')}`});
		} else if (header.indexOf(name) !== index) {
			problems.push({line: 1, column: name, message: 'duplicate column'});
		}
	}

	for (const column of sheetColumns) {
		if (!header.includes(column)) {
			problems.push({line: 1, column, message: 'the column is missing'});
		}
	}
}

function parseCsv(text: string, problems: SheetProblem[]): readonly CsvRecord[] {
	try {
		return recordsSchema.parse(parse(text, {
			bom: true, info: true, skip_empty_lines: true, relax_column_count: true, // eslint-disable-line @typescript-eslint/naming-convention
		}));
	} catch (error) {
		const line = typeof error === 'object' && error !== null && 'lines' in error ? Number(error.lines) : 1;
		problems.push({line, column: '', message: `not CSV: ${error instanceof Error ? error.message : 'unreadable'}`});
		return [];
	}
}

/**
Parses and checks a sheet in CSV. A byte order mark, CRLF line ends and any order of columns are accepted.

@param text - the text of the file
@returns the sheet, or all problems with line and column
*/
export function parseSheet(text: string): SheetParseResult {
	const problems: SheetProblem[] = [];
	const [header, ...records] = parseCsv(text, problems);
	if (!header) {
		return {problems: problems.length > 0 ? problems : [{line: 1, column: '', message: 'the sheet is empty'}]};
	}

	const names: readonly string[] = header.record.map(name => name.trim());
	checkHeader(names, problems);
	if (problems.length > 0) {
		return {problems};
	}

	const located = records.map(({record, info}) => {
		const cells = Object.fromEntries(names.map((name, index) => [name, record[index] ?? '']));
		const reader = new SheetRowReader(info.lines, cells, problems);
		if (record.length !== names.length) {
			reader.report('', `has ${record.length} cells where the header has ${names.length}`);
		}

		return {line: info.lines, row: parseRow(reader)};
	});
	checkRows(located, problems);
	return problems.length > 0 ? {problems} : {sheet: new Sheet(located.map(({row}) => row)), problems};
}
