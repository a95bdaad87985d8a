import {isLater, isSamePosition, type TablePosition} from './table-position.js';
import {RowHistory} from './row-history.js';
import {type TableRow, type TableUpdate} from './table-update.js';

/** When the store confirmed a copy of a table; monotonic times in milliseconds. */
export type Confirmation = {
	readonly confirmedAt: number;
	/** End of the last outage of the store that the reader of the copy noticed; -Infinity if there was none. */
	readonly outageAt: number;
};

/** What applying an update did. */
export enum UpdateResult {
	/** Rows changed, or the copy is the first one. */
	Changed = 'changed',
	/** The copy already reflected the update. */
	Unchanged = 'unchanged',
	/** The update does not connect to the copy; the whole table is needed. */
	Gap = 'gap',
}

/** What a copy knows of the newest changes of its table; numbers of transactions in the era of the copy. */
export type ChangeBounds = {
	/** No row changed after this transaction and up to the position of the copy. */
	readonly lastChange: number;
	/** A row changed no earlier than this; less than `lastChange` where a row may have been deleted, unseen, before the copy was made. */
	readonly knownChange: number;
};

/** Deleted rows that are remembered, so that other instances can be told of them. */
const maxDeletedRows = 2000;

/**
This instance's copy of a table of the platform's store. Updates may come from the store or from other instances, in any order and more than once.

The rows of a newer era replace those of an older one, whatever their transaction numbers.
*/
export class ReplicatedTable {
	private rows = new Map<string, TableRow>();
	private deletedRows = new Map<string, TableRow>();
	private readonly history = new RowHistory();
	private currentPosition?: TablePosition;
	/** Position from which on the deleted rows are known. */
	private historyStart?: TablePosition;
	private bounds: ChangeBounds = {lastChange: 0, knownChange: 0};
	private lastConfirmation: Confirmation = {confirmedAt: Number.NEGATIVE_INFINITY, outageAt: Number.NEGATIVE_INFINITY};

	/** Position of this copy; undefined if there is none yet. */
	get position(): TablePosition | undefined {
		return this.currentPosition;
	}

	/** The newest confirmation of this copy by the store. */
	get confirmation(): Confirmation {
		return this.lastConfirmation;
	}

	/** All rows that exist. */
	all(): Iterable<TableRow> {
		return this.rows.values();
	}

	/** Returns a row; undefined if it does not exist. */
	get(key: string): TableRow | undefined {
		return this.rows.get(key);
	}

	/** Finds the version of a large row that a copy at the position has, as far as this copy knows; undefined if it was not kept. */
	findVersion(key: string, {era, transaction}: TablePosition): TableRow | undefined {
		if (era !== this.currentPosition?.era) {
			return undefined;
		}

		const current = this.rows.get(key);
		return current && current.transaction <= transaction ? current : this.history.getVersion(key, transaction);
	}

	/** What this copy knows of the newest changes; zeros before the first one. */
	get changeBounds(): ChangeBounds {
		return this.bounds;
	}

	/** Applies an update, unless it is older than the copy. */
	apply(update: TableUpdate): UpdateResult {
		const {currentPosition} = this;
		if (!isLater(update.position, currentPosition)) {
			return UpdateResult.Unchanged;
		}

		if (!update.since) {
			return this.replace(update);
		}

		if (update.since.era !== currentPosition?.era || isLater(update.since, currentPosition)) {
			return UpdateResult.Gap;
		}

		this.currentPosition = update.position;
		const changes = update.rows.filter(row => this.applyRow(row));
		return changes.length > 0 ? UpdateResult.Changed : UpdateResult.Unchanged;
	}

	/** Records that the store confirmed a position, unless this copy has another one or a newer confirmation. */
	confirm(position: TablePosition, confirmation: Confirmation): void {
		if (isSamePosition(position, this.currentPosition) && confirmation.confirmedAt > this.lastConfirmation.confirmedAt) {
			this.lastConfirmation = confirmation;
		}
	}

	/** Takes over what another copy at the position knows of the newest changes, unless this copy has another position. */
	narrowBounds(position: TablePosition, bounds: ChangeBounds): void {
		if (isSamePosition(position, this.currentPosition)) {
			const lastChange = Math.min(bounds.lastChange, this.bounds.lastChange);
			this.bounds = {lastChange, knownChange: Math.min(lastChange, Math.max(bounds.knownChange, this.bounds.knownChange))};
		}
	}

	/** Returns the rows that a copy at the position lacks, or may lack; undefined if it lacks none. */
	getChangesSince(position: TablePosition | undefined): TableUpdate | undefined {
		const {currentPosition, historyStart} = this;
		if (!currentPosition || (position && !isLater({era: currentPosition.era, transaction: this.bounds.lastChange}, position))) {
			return undefined;
		}

		if (position?.era !== currentPosition.era || !historyStart || isLater(historyStart, position)) {
			return {position: currentPosition, rows: [...this.rows.values()]};
		}

		const rows = [...this.rows.values(), ...this.deletedRows.values()].filter(({transaction}) => transaction > position.transaction);
		return {since: position, position: currentPosition, rows};
	}

	private replace({position, rows}: TableUpdate): UpdateResult {
		const isSameEra = this.currentPosition?.era === position.era;
		if (isSameEra) {
			this.replaceRows(rows, position);
		} else {
			this.rows = new Map(rows.map(row => [row.key, row]));
			this.deletedRows = new Map();
			this.history.clear();
			this.bounds = {lastChange: 0, knownChange: Math.max(0, ...rows.map(({transaction}) => transaction))};
		}

		// A row may have been written or deleted before the position, unseen by this copy.
		this.historyStart = position;
		this.bounds = {lastChange: position.transaction, knownChange: this.bounds.knownChange};
		this.currentPosition = position;
		return UpdateResult.Changed;
	}

	private replaceRows(rows: readonly TableRow[], {transaction}: TablePosition): void {
		const keys = new Set(rows.map(({key}) => key));
		for (const key of this.rows.keys()) {
			if (!keys.has(key)) {
				this.applyRow({key, transaction});
			}
		}

		for (const row of rows) {
			this.applyRow(row);
		}
	}

	private applyRow(row: TableRow): boolean {
		const known = this.rows.get(row.key) ?? this.deletedRows.get(row.key);
		if (known && known.transaction >= row.transaction) {
			return false;
		}

		const {lastChange, knownChange} = this.bounds;
		this.bounds = {lastChange: Math.max(lastChange, row.transaction), knownChange: Math.max(knownChange, row.transaction)};
		if (known) {
			this.history.add(known);
		}

		if (row.text === undefined) {
			this.rows.delete(row.key);
			this.deletedRows.set(row.key, row);
			this.discardOldDeletions();
		} else {
			this.deletedRows.delete(row.key);
			this.rows.set(row.key, row);
		}

		return true;
	}

	private discardOldDeletions(): void {
		if (this.deletedRows.size <= maxDeletedRows) {
			return;
		}

		const [oldest] = [...this.deletedRows.values()].toSorted((left, right) => left.transaction - right.transaction);
		this.deletedRows.delete(oldest.key);
		this.historyStart = {era: this.currentPosition!.era, transaction: oldest.transaction};
	}
}
