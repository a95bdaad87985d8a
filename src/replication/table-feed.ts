import {type TablePosition} from './table-position.js';
import {type TableUpdate} from './table-update.js';

/** Reads a table of the platform's store. Each method throws PlatformError. */
export abstract class TableFeed {
	/** Reads the whole table. */
	abstract read(): Promise<TableUpdate>;

	/**
	Waits for changes after a position.

	@param timeout - milliseconds to wait at most
	@returns an update without rows if nothing changed; undefined if the store no longer has the history since that position
	*/
	abstract follow(position: TablePosition, timeout: number): Promise<TableUpdate | undefined>;
}
