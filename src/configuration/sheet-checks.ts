import {RowKind} from './row-kind.js';
import {type SheetProblem} from './sheet-problem.js';
import {getRowKey, type SheetRow} from './sheet-row.js';

/** A row with the line of the file on which it stands. */
export type LocatedRow = {
	readonly line: number;
	readonly row: SheetRow;
};

const maximumSharePercent = 100;
const shareTolerancePercent = 1e-6;

function checkReferences(placed: readonly LocatedRow[], problems: SheetProblem[]): void {
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

function checkUnique(placed: readonly LocatedRow[], column: string, keyOf: (row: SheetRow) => string, problems: SheetProblem[]): void {
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

function checkShares(placed: readonly LocatedRow[], problems: SheetProblem[]): void {
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

/** Checks what the rows of a sheet say of each other, and adds the problems. */
export function checkRows(placed: readonly LocatedRow[], problems: SheetProblem[]): void {
	checkReferences(placed, problems);
	checkUnique(placed, 'name', getRowKey, problems);
	checkUnique(placed, 'key_digest', row => row.kind === RowKind.Workspace ? row.keyDigest : '', problems);
	checkUnique(placed, 'model', row => row.kind === RowKind.Service ? row.model : '', problems);
	checkShares(placed, problems);
}
