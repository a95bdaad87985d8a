import {parse} from 'csv-parse/sync';
import * as z from 'zod';
import {Priority} from './priority.js';
import {RowKind} from './row-kind.js';
import {rowKeyOf, type SheetRow} from './sheet-row.js';
import {type SheetProblem} from './sheet-problem.js';
import {Sheet} from './sheet.js';

/** The columns of a sheet, in the order in which samples have them. */
export const sheetColumns = [
	'kind',
	'name',
	'service',
	'priority',
	'share_percent',
	'tokens_per_minute',
	'concurrent_streams',
	'key_digest',
	'model',
	'layers',
	'version',
	'idempotent',
	'checks_orders',
] as const;

const columnNames: readonly string[] = sheetColumns;

type Column = typeof sheetColumns[number];
type Cells = Readonly<Partial<Record<Column, string>>>;

/** The outcome of reading a sheet: a sheet, or all of its problems. */
export type SheetReading = {
	readonly sheet?: Sheet;
	readonly problems: readonly SheetProblem[];
};

const namePattern = /^[a-z\d][a-z\d.\-]{0,62}$/v;
const digestPattern = /^[a-f\d]{64}$/v;
const wholeNumberPattern = /^\d{1,15}$/v;
const decimalPattern = /^-?\d+(?:\.\d+)?$/v;
const maximumSharePercent = 100;
const shareTolerancePercent = 1e-6;

class RowReader {
	constructor(readonly line: number, private readonly cells: Cells, private readonly problems: SheetProblem[]) {}

	report(column: string, message: string): void {
		this.problems.push({line: this.line, column, message});
	}

	text(column: Column): string {
		return (this.cells[column] ?? '').trim();
	}

	name(column: Column): string {
		const value = this.text(column);
		if (!namePattern.test(value)) {
			this.report(column, `"${value}" is not a name; use up to 63 lower-case letters, digits, dots and hyphens`);
		}

		return value;
	}

	wholeNumber(column: Column, least: number): number {
		const value = this.text(column);
		if (!wholeNumberPattern.test(value) || Number(value) < least) {
			this.report(column, `"${value}" is not a whole number of at least ${least}`);
			return least;
		}

		return Number(value);
	}

	share(): number {
		const value = this.text('share_percent');
		const share = Number(value);
		if (!decimalPattern.test(value) || share <= 0 || share > maximumSharePercent) {
			this.report('share_percent', `"${value}" is not a percentage above 0 and up to 100`);
			return 0;
		}

		return share;
	}

	yesOrNo(column: Column): boolean {
		const value = this.text(column).toLowerCase();
		if (value !== 'yes' && value !== 'no') {
			this.report(column, `"${value}" is neither yes nor no`);
		}

		return value === 'yes';
	}

	oneOf<Value extends string>(column: Column, allowed: readonly Value[]): Value {
		const value = this.text(column);
		const found = allowed.find(candidate => candidate === value);
		if (found === undefined) {
			this.report(column, `"${value}" is none of ${allowed.join(', ')}`);
		}

		return found ?? allowed[0];
	}

	digest(): string {
		const value = this.text('key_digest').replace(/^sha256:/v, '');
		if (!digestPattern.test(value)) {
			this.report('key_digest', 'not a SHA-256 digest of 64 hexadecimal digits; `siskinnotch key create` prints one');
		}

		return value;
	}

	/** Reports cells that are filled though the kind of row has no use for them. */
	expectOnly(columns: readonly Column[]): void {
		for (const column of sheetColumns) {
			if (column !== 'kind' && !columns.includes(column) && this.text(column) !== '') {
				this.report(column, `must be empty in a ${this.text('kind')} row`);
			}
		}
	}
}

function readRow(reader: RowReader): SheetRow {
	const kind = reader.oneOf('kind', Object.values(RowKind));
	switch (kind) {
		case RowKind.Workspace: {
			reader.expectOnly(['name', 'priority', 'share_percent', 'tokens_per_minute', 'concurrent_streams', 'key_digest']);
			return {
				kind,
				name: reader.name('name'),
				priority: reader.oneOf('priority', Object.values(Priority)),
				share: reader.share(),
				tokensPerMinute: reader.wholeNumber('tokens_per_minute', 1),
				concurrentStreams: reader.wholeNumber('concurrent_streams', 1),
				keyDigest: reader.digest(),
			};
		}

		case RowKind.Service: {
			reader.expectOnly(['name', 'model', 'layers', 'version', 'checks_orders']);
			const model = reader.text('model');
			return {
				kind,
				name: reader.name('name'),
				model: model === '' ? '' : reader.name('model'),
				layers: model === '' ? 0 : reader.wholeNumber('layers', 1),
				version: model === '' ? '' : reader.name('version'),
				checksOrders: reader.yesOrNo('checks_orders'),
			};
		}

		case RowKind.Operation: {
			reader.expectOnly(['name', 'service', 'idempotent']);
			return {
				kind, name: reader.name('name'), service: reader.name('service'), isIdempotent: reader.yesOrNo('idempotent'),
			};
		}

		case RowKind.Grant: {
			reader.expectOnly(['name', 'service']);
			return {kind, name: reader.name('name'), service: reader.name('service')};
		}
	}
}

type PlacedRow = {
	readonly line: number;
	readonly row: SheetRow;
};

function checkReferences(placed: readonly PlacedRow[], problems: SheetProblem[]): void {
	const services = new Map(placed.flatMap(({row}) => row.kind === RowKind.Service ? [[row.name, row]] : []));
	const workspaces = new Set(placed.flatMap(({row}) => row.kind === RowKind.Workspace ? [row.name] : []));
	for (const {line, row} of placed) {
		if (row.kind !== RowKind.Operation && row.kind !== RowKind.Grant) {
			continue;
		}

		const service = services.get(row.service);
		if (!service) {
			problems.push({line, column: 'service', message: `no row defines the service "${row.service}"`});
		} else if (row.kind === RowKind.Operation && service.model !== '') {
			problems.push({line, column: 'service', message: `"${row.service}" is a model service and has no operations`});
		}

		if (row.kind === RowKind.Grant && !workspaces.has(row.name)) {
			problems.push({line, column: 'name', message: `no row defines the workspace "${row.name}"`});
		}
	}
}

function checkUnique(placed: readonly PlacedRow[], column: string, keyOf: (row: SheetRow) => string, problems: SheetProblem[]): void {
	const firstLines = new Map<string, number>();
	for (const {line, row} of placed) {
		const key = keyOf(row);
		const first = firstLines.get(key);
		if (key === '') {
			continue;
		}

		if (first === undefined) {
			firstLines.set(key, line);
		} else {
			problems.push({line, column, message: `repeats line ${first}`});
		}
	}
}

function checkShares(placed: readonly PlacedRow[], problems: SheetProblem[]): void {
	let total = 0;
	let lastLine = 1;
	for (const {line, row} of placed) {
		if (row.kind === RowKind.Workspace) {
			total += row.share;
			lastLine = line;
		}
	}

	if (total > maximumSharePercent + shareTolerancePercent) {
		problems.push({line: lastLine, column: 'share_percent', message: `the shares add up to ${total} percent; at most 100 can be given`});
	}
}

const recordsSchema = z.array(z.object({record: z.array(z.string()), info: z.object({lines: z.number()})}));

type CsvRecord = z.infer<typeof recordsSchema>[number];

function checkHeader(header: readonly string[], problems: SheetProblem[]): void {
	for (const [index, name] of header.entries()) {
		if (!columnNames.includes(name)) {
			problems.push({line: 1, column: name, message: `unknown column; allowed are ${sheetColumns.join(', ')}`});
		} else if (header.indexOf(name) !== index) {
			problems.push({line: 1, column: name, message: 'the column stands twice'});
		}
	}

	for (const column of sheetColumns) {
		if (!header.includes(column)) {
			problems.push({line: 1, column, message: 'the column is missing'});
		}
	}
}

function readRecords(text: string, problems: SheetProblem[]): readonly CsvRecord[] {
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
Reads a sheet from CSV as a planner exports it. A byte order mark, CRLF and columns in any order are accepted.

@param text - the file's text
@returns the sheet, or all problems with line and column
*/
export function parseSheet(text: string): SheetReading {
	const problems: SheetProblem[] = [];
	const [header, ...records] = readRecords(text, problems);
	if (!header) {
		return {problems: problems.length > 0 ? problems : [{line: 1, column: '', message: 'the sheet is empty'}]};
	}

	const names: readonly string[] = header.record.map(name => name.trim());
	checkHeader(names, problems);
	if (problems.length > 0) {
		return {problems};
	}

	const placed = records.map(({record, info}) => {
		const cells = Object.fromEntries(names.map((name, index) => [name, record[index] ?? '']));
		const reader = new RowReader(info.lines, cells, problems);
		if (record.length !== names.length) {
			reader.report('', `has ${record.length} cells where the header has ${names.length}`);
		}

		return {line: info.lines, row: readRow(reader)};
	});
	checkReferences(placed, problems);
	checkUnique(placed, 'name', rowKeyOf, problems);
	checkUnique(placed, 'key_digest', row => row.kind === RowKind.Workspace ? row.keyDigest : '', problems);
	checkUnique(placed, 'model', row => row.kind === RowKind.Service ? row.model : '', problems);
	checkShares(placed, problems);
	return problems.length > 0 ? {problems} : {sheet: new Sheet(placed.map(({row}) => row)), problems};
}
