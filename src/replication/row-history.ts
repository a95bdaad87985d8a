import {type TableRow} from './table-update.js';

/** Earlier versions that are kept of a row. */
const maxVersions = 4;
/** Characters from which a row is large. */
const minLargeCharacters = 4000;

/** Whether a row is so large that other instances get it compressed, or only its difference from an earlier version. */
export function isLargeRow({text}: TableRow): boolean {
	return text !== undefined && text.length >= minLargeCharacters;
}

/** Keeps the previous versions of large rows, so that other instances that have one of them need only the difference. */
export class RowHistory {
	private readonly versions = new Map<string, TableRow[]>();

	/** Adds a version that was replaced. */
	add(row: TableRow): void {
		if (isLargeRow(row)) {
			this.versions.set(row.key, [row, ...this.versions.get(row.key) ?? []].slice(0, maxVersions));
		}
	}

	/** Returns the newest kept version of a row that a transaction wrote, or an earlier one. */
	getVersion(key: string, transaction: number): TableRow | undefined {
		return this.versions.get(key)?.find(row => row.transaction <= transaction);
	}

	/** Removes all versions. */
	clear(): void {
		this.versions.clear();
	}
}
