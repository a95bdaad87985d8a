import {type Logger} from 'winston';
import {type Table} from '../store/table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {leaseRecordSchema, leaseRowKey} from './lease-record.js';
import {type Lease} from './lease.js';

/** Takes and renews a lease by conditional writes of its row. */
export class LeaseManager {
	private isBusy = false;

	constructor(
		private readonly name: string,
		private readonly lease: Lease,
		private readonly dependencies: {readonly table: Table; readonly timers: TimerService; readonly log: Logger},
	) {}

	/** Reads the row and takes or renews the lease where it may. Called several times within its duration. */
	async acquireOrRenew(): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		try {
			await this.tryOnce();
		} catch (error) {
			this.dependencies.log.debug(`The lease ${this.name} cannot be renewed: ${getErrorMessage(error)}.`);
		} finally {
			this.isBusy = false;
		}
	}

	/** Gives the lease up, so that another takes it at once. */
	async release(): Promise<void> {
		const {table, timers, log} = this.dependencies;
		const record = this.lease.release(timers.now());
		if (!record) {
			return;
		}

		try {
			const key = leaseRowKey(this.name);
			const row = await table.read(key);
			await table.transact([{key, expected: row?.version ?? 0, value: JSON.stringify(record)}]);
			log.info(`The lease ${this.name} is given up.`);
		} catch (error) {
			log.info(`The lease ${this.name} is not given up in the table and runs out: ${getErrorMessage(error)}.`);
		}
	}

	private async tryOnce(): Promise<void> {
		const {table, timers, log} = this.dependencies;
		const key = leaseRowKey(this.name);
		const row = await table.read(key);
		const reading = {record: row && leaseRecordSchema.parse(JSON.parse(row.value)), version: row?.version ?? 0, tableNow: row?.tableNow};
		const sentAt = timers.now();
		const record = this.lease.prepareRecord(reading, sentAt);
		if (!record) {
			return;
		}

		const wasHeld = this.lease.isHeld(sentAt);
		const outcome = await table.transact([{key, expected: reading.version, value: JSON.stringify(record)}]);
		if (outcome.isApplied) {
			this.lease.confirmWrite(record, reading.version + 1, sentAt);
			if (!wasHeld) {
				log.info(`The lease ${this.name} is held with fencing number ${record.fencing}.`);
			}
		}
	}
}
