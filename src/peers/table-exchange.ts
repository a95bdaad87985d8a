import {UpdateResult} from '../replication/replicated-table.js';
import {type TableName, tableNames} from '../replication/table-name.js';
import {isLater, isSamePosition, type TablePosition} from '../replication/table-position.js';
import {type TableSet} from '../replication/table-set.js';
import {type TableUpdate} from '../replication/table-update.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type GossipMessage} from './gossip-message.js';
import {type PackedRow} from './packed-row.js';
import {packUpdate, unpackUpdate} from './packed-update.js';
import {RowPacking} from './row-packing.js';
import {type StoreRefusalExchange} from './store-refusal-exchange.js';
import {type ByTable, divideByBuild, joinTables} from './table-fields.js';
import {transitAllowanceMs} from './transit-allowance.js';

type TableStatus = NonNullable<GossipMessage['tables'][TableName.Catalog]>;

type StatusFields = Pick<GossipMessage, 'tables' | 'furtherTables'>;

type UpdateFields = Pick<GossipMessage, 'updates' | 'furtherUpdates' | 'packedRows'>;

type RecentChange = {
	readonly name: TableName;
	/** Position before the change. */
	readonly since: TablePosition;
	/** Monotonic time in milliseconds. */
	readonly at: number;
};

/** The last change that this instance began to report at some time. */
type ReportedBound = {
	readonly lastChange: TablePosition;
	/** Monotonic time in milliseconds. */
	readonly since: number;
};

/** What a message changed. */
type TableReceipt = {
	/** Whether rows changed, or what is known of the instances that the store refuses. */
	readonly isChanged: boolean;
	/** Whether the sender has rows that this instance still lacks. */
	readonly isBehind: boolean;
	/** Why rows could not be unpacked; undefined if all were. */
	readonly unpackingError?: string;
};

/** An update that an instance sent, with the state of its copy. */
type ReceivedUpdate = {
	readonly status: TableStatus;
	readonly update: TableUpdate | undefined;
	/** Id of the instance. */
	readonly from: string;
};

/** Time for which a change is sent unasked, in milliseconds; later it is only sent to instances that lack it. */
const unaskedSendMs = 1500;
/** Characters of an update that is sent unasked; a larger one is fetched by those that lack it. */
const maxUnaskedCharacters = 4000;

/** Time in which the store confirms a later position of all other copies, in milliseconds: the longest wait of a call, and the way to the other instances. Afterwards a copy that is still before a possible change is to be replaced. */
const confirmationTimeMs = 15_000;

function toUpdateFields(updates: ByTable<TableUpdate>): UpdateFields {
	const {original, further} = divideByBuild(updates);
	return {updates: original, ...(further && {furtherUpdates: further})};
}

function countCharacters({rows}: TableUpdate): number {
	return rows.reduce((sum, {key, text}) => sum + key.length + (text?.length ?? 0), 0);
}

/** Exchanges the rows of the store's tables with other instances, so that few of them have to read the store. */
export class TableExchange {
	private recentChanges: RecentChange[] = [];
	/** The newest change of each table that another instance reported. */
	private readonly reportedChanges: ByTable<TablePosition> = {};
	/** The last change of each table of which this instance does not know whether it happened. */
	private readonly reportedBounds: ByTable<ReportedBound> = {};
	/** Whether the last packed rows could be unpacked, so that the next ones may be deltas. */
	private isDeltaUsable = true;

	constructor(private readonly tables: TableSet, private readonly refusals: StoreRefusalExchange) {}

	/** Remembers a change, so that it is sent with the next messages. */
	recordChange(name: TableName, since: TablePosition | undefined, now: number): void {
		this.recentChanges = this.recentChanges.filter(({at}) => now - at <= unaskedSendMs);
		if (since) {
			this.recentChanges.push({name, since, at: now});
		}
	}

	/** Describes this instance's copies. */
	describe(now: number): StatusFields {
		const statuses: ByTable<TableStatus> = {};
		for (const name of tableNames) {
			const {position, changeBounds: {lastChange}, confirmation: {confirmedAt, outageAt}} = this.tables.get(name);
			if (position && Number.isFinite(confirmedAt)) {
				const knownChange = this.findKnownChange(name, now);
				statuses[name] = {
					...position,
					lastChange,
					...(knownChange !== undefined && {knownChange}),
					age: Math.round(now - confirmedAt),
					...(Number.isFinite(outageAt) && {outageAge: Math.round(now - outageAt)}),
				};
			}
		}

		const {original, further} = divideByBuild(statuses);
		return {tables: original, ...(further && {furtherTables: further})};
	}

	/** Returns what an instance of the own availability zone is sent unasked: the recent small changes, and which instances the store refuses. */
	getRecentUpdates(now: number): UpdateFields & Pick<GossipMessage, 'storeAccess'> {
		const updates: ByTable<TableUpdate> = {};
		for (const {name, since, at} of this.recentChanges) {
			const update = now - at <= unaskedSendMs && !updates[name] ? this.tables.get(name).getChangesSince(since) : undefined;
			if (update?.since && countCharacters(update) <= maxUnaskedCharacters) {
				updates[name] = update;
			}
		}

		return {...toUpdateFields(updates), ...this.refusals.getCurrent(now)};
	}

	/** How this instance wants large rows. */
	get packing(): RowPacking {
		return this.isDeltaUsable ? RowPacking.Delta : RowPacking.Whole;
	}

	/** Returns the rows that an instance with these copies lacks; large updates only if it wants them, since it may be asking several instances, and if it knows that it lacks rows. */
	getMissingUpdates({tables, furtherTables, wantsRows, packing}: StatusFields & Pick<GossipMessage, 'wantsRows' | 'packing'>, now: number): UpdateFields {
		const statuses = joinTables({original: tables, further: furtherTables});
		const updates: ByTable<TableUpdate> = {};
		const packedRows: Record<string, PackedRow[]> = {};
		for (const name of tableNames) {
			const table = this.tables.get(name);
			const update = table.getChangesSince(statuses[name]);
			// An instance of a build without packing does not know of known changes, and goes on asking.
			const isFetched = wantsRows && !(packing && this.hasKnownChange(name, statuses[name], now));
			if (!update || (!isFetched && countCharacters(update) > maxUnaskedCharacters)) {
				continue;
			}

			const packed = packing ? packUpdate(update, table, {position: statuses[name], packing}) : {update, packedRows: []};
			updates[name] = packed.update;
			if (packed.packedRows.length > 0) {
				packedRows[name] = [...packed.packedRows];
			}
		}

		return {...toUpdateFields(updates), ...(Object.keys(packedRows).length > 0 && {packedRows})};
	}

	/** Applies the updates and confirmations of a message. */
	receive(message: GossipMessage, now: number): TableReceipt {
		const statuses = joinTables({original: message.tables, further: message.furtherTables});
		const updates = joinTables({original: message.updates, further: message.furtherUpdates});
		let isChanged = this.refusals.receive(message, now);
		let isBehind = false;
		let unpackingError: string | undefined;
		for (const name of tableNames) {
			const status = statuses[name];
			if (!status) {
				continue;
			}

			const change = {era: status.era, transaction: status.knownChange ?? status.lastChange};
			this.recordReport(name, change);
			const {update, error} = this.unpack(name, updates[name], message.packedRows?.[name]);
			unpackingError ??= error;
			isChanged = this.applyUpdate(name, {status, update, from: message.from.id}, now) || isChanged;
			isBehind ||= isLater(change, this.tables.get(name).position);
		}

		return {isChanged, isBehind, ...(unpackingError !== undefined && {unpackingError})};
	}

	/** Whether this instance still lacks rows that another one reported to have. */
	isLackingRows(): boolean {
		return tableNames.some(name => this.isLacking(name));
	}

	/** Whether this instance still lacks rows of a table that another one reported to have. */
	isLacking(name: TableName): boolean {
		const reported = this.reportedChanges[name];
		return reported !== undefined && isLater(reported, this.tables.get(name).position);
	}

	/** Adds the packed rows to an update. An update whose rows cannot be unpacked is dropped, and the next one is requested without deltas. */
	private unpack(name: TableName, update: TableUpdate | undefined, packedRows: readonly PackedRow[] = []): {readonly update?: TableUpdate; readonly error?: string} {
		if (!update || packedRows.length === 0) {
			return {update};
		}

		try {
			const unpacked = unpackUpdate({update, packedRows}, this.tables.get(name));
			this.isDeltaUsable = true;
			return {update: unpacked};
		} catch (error) {
			this.isDeltaUsable = false;
			return {error: getErrorMessage(error)};
		}
	}

	/** Returns whether rows changed. */
	private applyUpdate(name: TableName, {status, update, from}: ReceivedUpdate, now: number): boolean {
		const {era, transaction, lastChange, knownChange = lastChange, age, outageAge} = status;
		const position = {era, transaction};
		const origin = {from, confirmedAt: now - age - transitAllowanceMs, outageAt: outageAge === undefined ? Number.NEGATIVE_INFINITY : now - outageAge};
		const previous = this.tables.get(name).position;
		const isChanged = update !== undefined && this.tables.apply(name, update, origin) === UpdateResult.Changed;
		if (isChanged) {
			this.recordChange(name, previous, now);
		}

		// No row changed after lastChange, so a copy that has that change is as new as the sender's.
		this.tables.apply(name, {since: {era, transaction: lastChange}, position, rows: []}, origin);
		this.tables.get(name).narrowBounds(position, {lastChange, knownChange});
		return isChanged;
	}

	/** Returns the newest change that certainly happened, if the last one may not have. It keeps instances that have everything from fetching the whole table. */
	private findKnownChange(name: TableName, now: number): number | undefined {
		const {position, changeBounds: {lastChange, knownChange}} = this.tables.get(name);
		if (!position || knownChange === lastChange) {
			return undefined;
		}

		const bound = {era: position.era, transaction: lastChange};
		const reported = this.reportedBounds[name];
		const {since} = reported && isSamePosition(bound, reported.lastChange) ? reported : {since: now};
		this.reportedBounds[name] = {lastChange: bound, since};
		return now - since <= confirmationTimeMs ? knownChange : undefined;
	}

	/** Whether a copy at the position has all changes that certainly happened, and perhaps not those that may have. */
	private hasKnownChange(name: TableName, position: TablePosition | undefined, now: number): boolean {
		const transaction = this.findKnownChange(name, now);
		return transaction !== undefined && position !== undefined && !isLater({era: this.tables.get(name).position!.era, transaction}, position);
	}

	private recordReport(name: TableName, change: TablePosition): void {
		if (isLater(change, this.reportedChanges[name])) {
			this.reportedChanges[name] = change;
		}
	}
}
