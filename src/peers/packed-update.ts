import {type ReplicatedTable} from '../replication/replicated-table.js';
import {isLargeRow} from '../replication/row-history.js';
import {type TablePosition} from '../replication/table-position.js';
import {type TableRow, type TableUpdate} from '../replication/table-update.js';
import {packRow, unpackRow, type PackedRow} from './packed-row.js';
import {RowPacking} from './row-packing.js';

/** An update whose large rows are packed. */
export type PackedUpdate = {
	/** The update without its packed rows. */
	readonly update: TableUpdate;
	readonly packedRows: readonly PackedRow[];
};

/** What an instance says of its copy, and how it wants large rows. */
export type PackingRequest = {
	/** Position of the copy; undefined if it has none. */
	readonly position: TablePosition | undefined;
	readonly packing: RowPacking;
};

/** Packs the large rows of an update for an instance. */
export function packUpdate(update: TableUpdate, table: ReplicatedTable, {position, packing}: PackingRequest): PackedUpdate {
	const findBase = ({key}: TableRow) => position && packing === RowPacking.Delta ? table.findVersion(key, position) : undefined;
	return {
		update: {...update, rows: update.rows.filter(row => !isLargeRow(row))},
		packedRows: update.rows.filter(row => isLargeRow(row)).map(row => packRow(row, findBase(row))),
	};
}

/** Returns the update with its packed rows. Throws if one cannot be unpacked with the versions that this instance has or had. */
export function unpackUpdate({update, packedRows}: PackedUpdate, table: ReplicatedTable): TableUpdate {
	const {era} = update.position;
	const rows = packedRows.map(row => {
		// A newer version may have arrived since this instance asked.
		const own = table.position?.era === era ? table.get(row.key) : undefined;
		const base = row.base === undefined ? undefined : table.findVersion(row.key, {era, transaction: row.base});
		return own && own.transaction >= row.transaction ? own : unpackRow(row, base);
	});
	return {...update, rows: [...update.rows, ...rows]};
}
