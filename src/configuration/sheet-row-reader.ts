import {Priority} from './priority.js';
import {RowKind} from './row-kind.js';
import {sheetColumns, type SheetColumn} from './sheet-columns.js';
import {type SheetProblem} from './sheet-problem.js';
import {type SheetRow} from './sheet-row.js';

const namePattern = /^[a-z\d][a-z\d.\-]{0,62}$/v;
const digestPattern = /^[a-f\d]{64}$/v;
const wholeNumberPattern = /^\d{1,15}$/v;
const decimalPattern = /^-?\d+(?:\.\d+)?$/v;
const maxSharePercent = 100;

/** Parses the cells of one row. A method reports a problem if its cell is invalid, and returns a value in any case so that the rest of the row is still checked. */
export class SheetRowReader {
	constructor(readonly line: number, private readonly cells: Readonly<Partial<Record<SheetColumn, string>>>, private readonly problems: SheetProblem[]) {}

	/** Adds a problem on the line of this row. */
	report(column: string, message: string): void {
		this.problems.push({line: this.line, column, message});
	}

	/** Returns the trimmed text of a cell; empty if the row is too short. */
	text(column: SheetColumn): string {
		return (this.cells[column] ?? '').trim();
	}

	name(column: SheetColumn): string {
		const value = this.text(column);
		if (!namePattern.test(value)) {
			this.report(column, `"${value}" is not a name; use up to 63 lower-case letters, digits, dots and hyphens`);
		}

		return value;
	}

	wholeNumber(column: SheetColumn, minimum: number): number {
		const value = this.text(column);
		if (!wholeNumberPattern.test(value) || Number(value) < minimum) {
			this.report(column, `"${value}" is not a whole number of at least ${minimum}`);
			return minimum;
		}

		return Number(value);
	}

	share(): number {
		const value = this.text('share_percent');
		const share = Number(value);
		if (!decimalPattern.test(value) || share <= 0 || share > maxSharePercent) {
			this.report('share_percent', `"${value}" is not a percentage above 0 and up to 100`);
			return 0;
		}

		return share;
	}

	yesOrNo(column: SheetColumn): boolean {
		const value = this.text(column).toLowerCase();
		if (value !== 'yes' && value !== 'no') {
			this.report(column, `"${value}" is neither yes nor no`);
		}

		return value === 'yes';
	}

	oneOf<Value extends string>(column: SheetColumn, allowed: readonly Value[]): Value {
		const value = this.text(column);
		const found = allowed.find(candidate => candidate === value);
		if (found === undefined) {
			this.report(column, `"${value}" is none of ${allowed.join(', ')}`);
		}

		return found ?? allowed[0];
	}

	/** Parses `key_digest`, with or without the prefix `sha256:`. */
	digest(): string {
		const value = this.text('key_digest').replace(/^sha256:/v, '');
		if (!digestPattern.test(value)) {
			this.report('key_digest', 'not a SHA-256 digest of 64 hexadecimal digits; `siskinnotch key create` prints one');
		}

		return value;
	}

	/** Reports each cell that is not empty although it is not among the columns of this kind of row. */
	allowOnly(columns: readonly SheetColumn[]): void {
		for (const column of sheetColumns) {
			if (column !== 'kind' && !columns.includes(column) && this.text(column) !== '') {
				this.report(column, `must be empty in a ${this.text('kind')} row`);
			}
		}
	}
}

/** Parses a row of any kind. The reader reports the problems; the returned row is meaningful only if there are none. */
export function parseRow(reader: SheetRowReader): SheetRow {
	const kind = reader.oneOf('kind', Object.values(RowKind));
	switch (kind) {
		case RowKind.Workspace: {
			reader.allowOnly(['name', 'priority', 'share_percent', 'tokens_per_minute', 'concurrent_streams', 'key_digest']);
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
			reader.allowOnly(['name', 'model', 'layers', 'version', 'checks_orders']);
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
			reader.allowOnly(['name', 'service', 'idempotent']);
			return {
				kind, name: reader.name('name'), service: reader.name('service'), isIdempotent: reader.yesOrNo('idempotent'),
			};
		}

		case RowKind.Grant: {
			reader.allowOnly(['name', 'service']);
			return {kind, name: reader.name('name'), service: reader.name('service')};
		}
	}
}
