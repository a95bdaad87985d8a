import {RowKind} from './row-kind.js';
import {type SheetProblem} from './sheet-problem.js';
import {getRowKey, type SheetRow} from './sheet-row.js';

/** A row with its line number in the file. */
export type LocatedRow = {
	readonly line: number;
	readonly row: SheetRow;
};

const maxSharePercent = 100;
/** Absorbs the rounding error of adding decimal shares. */
const shareTolerancePercent = 1e-6;

function checkReferences(located: readonly LocatedRow[], problems: SheetProblem[]): void {
	const services = new Map(located.flatMap(({row}) => row.kind === RowKind.Service ? [[row.name, row]] : []));
	const workspaces = new Set(located.flatMap(({row}) => row.kind === RowKind.Workspace ? [row.name] : []));
	for (const {line, row} of located) {
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

function checkUnique(located: readonly LocatedRow[], column: string, getKey: (row: SheetRow) => string, problems: SheetProblem[]): void {
	const firstLines = new Map<string, number>();
	for (const {line, row} of located) {
		const key = getKey(row);
		const firstLine = firstLines.get(key);
		if (key === '') {
			continue;
		}

		if (firstLine === undefined) {
			firstLines.set(key, line);
		} else {
			problems.push({line, column, message: `repeats line ${firstLine}`});
		}
	}
}

function checkShares(located: readonly LocatedRow[], problems: SheetProblem[]): void {
	let total = 0;
	let lastLine = 1;
	for (const {line, row} of located) {
		if (row.kind === RowKind.Workspace) {
			total += row.share;
			lastLine = line;
		}
	}

	if (total > maxSharePercent + shareTolerancePercent) {
		problems.push({line: lastLine, column: 'share_percent', message: `the shares add up to ${total} percent; the maximum is 100`});
	}
}

/**
Checks the rows of a sheet against each other: references to services and workspaces, unique names, keys and models, and the sum of the shares.

@param problems - receives the problems found
*/
export function checkRows(located: readonly LocatedRow[], problems: SheetProblem[]): void {
	checkReferences(located, problems);
	checkUnique(located, 'name', getRowKey, problems);
	checkUnique(located, 'key_digest', row => row.kind === RowKind.Workspace ? row.keyDigest : '', problems);
	checkUnique(located, 'model', row => row.kind === RowKind.Service ? row.model : '', problems);
	checkShares(located, problems);
}
