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
	const findBase = ({key}: TableRow) => position && packing === RowPacking.Delta ? table.findEarlierVersion(key, position) : undefined;
	return {
		update: {...update, rows: update.rows.filter(row => !isLargeRow(row))},
		packedRows: update.rows.filter(row => isLargeRow(row)).map(row => packRow(row, findBase(row))),
	};
}

/** Returns the update with its packed rows. Throws if one cannot be unpacked with the versions that this instance has. */
export function unpackUpdate({update, packedRows}: PackedUpdate, table: ReplicatedTable): TableUpdate {
	return {...update, rows: [...update.rows, ...packedRows.map(row => unpackRow(row, table.get(row.key)))]};
}
