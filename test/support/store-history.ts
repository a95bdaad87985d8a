import {type ConditionalWrite} from '../../src/store/conditional-write.js';
import {PlatformError} from '../../src/store/platform-error.js';
import {type Row} from '../../src/store/row.js';
import {Table} from '../../src/store/table.js';
import {type TransactionResult} from '../../src/store/transaction-result.js';
import {TableFeed} from '../../src/replication/table-feed.js';
import {type TablePosition} from '../../src/replication/table-position.js';
import {type TableRow, type TableUpdate} from '../../src/replication/table-update.js';
import {type TimerService} from '../../src/time/timer-service.js';

const pollIntervalMs = 50;

/** A store in memory that numbers its transactions, and that can return from an older copy of itself. It counts its calls. */
export class StoreHistory {
	calls = 0;
	/** Ids of the instances that the store refuses; `all` refuses every instance. */
	readonly refused = new Set<string>();
	private position: TablePosition = {era: 1, transaction: 0};
	private tables = new Map<string, Map<string, TableRow>>();
	private copy?: {readonly position: TablePosition; readonly tables: Map<string, Map<string, TableRow>>};

	constructor(private readonly timers: TimerService) {}

	/** Writes a row; deletes it if the text is undefined. */
	put(table: string, key: string, text: string | undefined): void {
		this.position = {...this.position, transaction: this.position.transaction + 1};
		const rows = this.tables.get(table) ?? new Map<string, TableRow>();
		this.tables.set(table, rows.set(key, {key, transaction: this.position.transaction, ...(text !== undefined && {text})}));
	}

	/** Remembers the present state. */
	takeCopy(): void {
		this.copy = {position: this.position, tables: structuredClone(this.tables)};
	}

	/** Returns to the remembered state, under a new era. */
	restoreCopy(): void {
		const {position, tables} = this.copy!;
		this.tables = structuredClone(tables);
		this.position = {era: this.position.era + 1, transaction: position.transaction};
	}

	/** Returns the store's table as an instance accesses it. */
	openTable(table: string, instance: string): Table {
		return new HistoryTable(this, table, instance);
	}

	/** Returns the feed of a table as an instance follows it. */
	openFeed(table: string, instance: string): TableFeed {
		return new HistoryFeed(this, table, instance);
	}

	/** Counts a call, and rejects it if the instance is refused. */
	admit(instance: string): void {
		this.calls++;
		if (this.refused.has(instance) || this.refused.has('all')) {
			throw new PlatformError('the store answered 503', false);
		}
	}

	readRows(table: string): readonly TableRow[] {
		return [...this.tables.get(table)?.values() ?? []];
	}

	readSnapshot(table: string): TableUpdate {
		return {position: this.position, rows: this.readRows(table).filter(({text}) => text !== undefined)};
	}

	async waitForChanges(table: string, since: TablePosition, timeout: number): Promise<TableUpdate | undefined> {
		for (let waited = 0; ; waited += pollIntervalMs) {
			if (since.era !== this.position.era) {
				return undefined;
			}

			const rows = this.readRows(table).filter(({transaction}) => transaction > since.transaction);
			if (rows.length > 0 || waited >= timeout) {
				return {since, position: this.position, rows};
			}

			await this.timers.sleep(pollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}
}

class HistoryTable extends Table {
	constructor(private readonly store: StoreHistory, private readonly table: string, private readonly instance: string) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		const rows = await this.scan(key);
		return rows.find(row => row.key === key);
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		this.store.admit(this.instance);
		return this.store.readRows(this.table).filter(({key}) => key.startsWith(prefix)).map(({key, transaction, text}) => ({key, version: transaction, value: text ?? ''}));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		this.store.admit(this.instance);
		const rows = new Map(this.store.readRows(this.table).map(row => [row.key, row]));
		const conflicts = writes.filter(({key, expected}) => (rows.get(key)?.transaction ?? 0) !== expected);
		if (conflicts.length > 0) {
			return {isApplied: false, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.transaction ?? 0, value: rows.get(key)?.text ?? ''}))};
		}

		for (const {key, value} of writes) {
			this.store.put(this.table, key, value);
		}

		return {isApplied: true, conflicts: []};
	}
}

class HistoryFeed extends TableFeed {
	constructor(private readonly store: StoreHistory, private readonly table: string, private readonly instance: string) {
		super();
	}

	async read(): Promise<TableUpdate> {
		this.store.admit(this.instance);
		return this.store.readSnapshot(this.table);
	}

	async follow(position: TablePosition, timeout: number): Promise<TableUpdate | undefined> {
		this.store.admit(this.instance);
		return this.store.waitForChanges(this.table, position, timeout);
	}
}
