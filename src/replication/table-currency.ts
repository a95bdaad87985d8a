import {type TimerService} from '../time/timer-service.js';
import {type ReplicatedTable} from './replicated-table.js';

/** How current a copy of a table is. */
export type CurrencyReport = {
	/** Whether another instance has changes that the copy lacks. */
	readonly isBehind: boolean;
	/** Milliseconds since the store confirmed the copy; Infinity if it never did. */
	readonly age: number;
};

/** Tells how current this instance's copy of a table is. */
export class TableCurrency {
	/**
	@param isLacking - whether another instance reported changes that the copy lacks
	*/
	constructor(private readonly table: ReplicatedTable, private readonly isLacking: () => boolean, private readonly timers: TimerService) {}

	/** Describes the copy as it is now. */
	describe(): CurrencyReport {
		return {isBehind: this.isLacking(), age: this.timers.now() - this.table.confirmation.confirmedAt};
	}
}
