import {type DecisionLog} from '../observation/decision-log.js';
import {ReplicatedTable, UpdateResult, type Confirmation} from './replicated-table.js';
import {type TableName, tableNames} from './table-name.js';
import {type TableUpdate} from './table-update.js';

/** Where an update came from, for the log. */
export type UpdateOrigin = Confirmation & {
	/** `store`, or the id of the instance that sent the update. */
	readonly from: string;
};

type Listener = (table: ReplicatedTable, from: string) => void;

/** This instance's copies of the store's tables, with the parts that depend on them. */
export class TableSet {
	private readonly tables = new Map(tableNames.map(name => [name, new ReplicatedTable()]));
	private readonly changeListeners = new Map<TableName, Listener>();
	private readonly confirmationListeners = new Map<TableName, Listener>();

	constructor(private readonly log: DecisionLog) {}

	get(name: TableName): ReplicatedTable {
		return this.tables.get(name)!;
	}

	/** Calls the listener after each update that changed rows of a table. */
	onChange(name: TableName, listener: Listener): void {
		this.changeListeners.set(name, listener);
	}

	/** Calls the listener after each update and each confirmation of a table. */
	onConfirmation(name: TableName, listener: Listener): void {
		this.confirmationListeners.set(name, listener);
	}

	/** Applies an update to a table and notifies its listeners. */
	apply(name: TableName, update: TableUpdate, origin: UpdateOrigin): UpdateResult {
		const table = this.get(name);
		const previousEra = table.position?.era;
		const result = table.apply(update);
		this.confirm(name, update.position, origin);
		if (result !== UpdateResult.Changed) {
			return result;
		}

		this.log.write('table.updated', {
			table: name, from: origin.from, rows: update.rows.length, isWhole: update.since === undefined, era: update.position.era, transaction: update.position.transaction,
		});
		if (previousEra !== undefined && previousEra !== update.position.era) {
			this.log.warn('table.history_replaced', {table: name, previousEra, era: update.position.era});
		}

		this.changeListeners.get(name)?.(table, origin.from);
		return result;
	}

	/** Records that the store confirmed a position of a table. */
	confirm(name: TableName, position: TableUpdate['position'], origin: UpdateOrigin): void {
		const table = this.get(name);
		table.confirm(position, origin);
		this.confirmationListeners.get(name)?.(table, origin.from);
	}
}
