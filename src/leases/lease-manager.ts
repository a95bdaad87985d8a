import {type Logger} from 'winston';
import {type Table} from '../store/table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {leaseRecordSchema, leaseRowKey} from './lease-record.js';
import {type Lease} from './lease.js';

/** Acquires, renews and releases a lease by conditional writes of its row. */
export class LeaseManager {
	private isBusy = false;

	constructor(
		private readonly name: string,
		private readonly lease: Lease,
		private readonly dependencies: {readonly table: Table; readonly timers: TimerService; readonly log: Logger},
	) {}

	/** Reads the row, and acquires or renews the lease if allowed. Call it several times within the lease duration; a call does nothing while another one is in progress. */
	async acquireOrRenew(): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		try {
			await this.tryAcquireOrRenew();
		} catch (error) {
			this.dependencies.log.debug(`Cannot acquire or renew the lease ${this.name}: ${getErrorMessage(error)}.`);
		} finally {
			this.isBusy = false;
		}
	}

	/** Releases the lease, so that another process can acquire it at once. */
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
			log.info(`The lease ${this.name} is released.`);
		} catch (error) {
			log.info(`The lease ${this.name} could not be released in the table and will expire: ${getErrorMessage(error)}.`);
		}
	}

	private async tryAcquireOrRenew(): Promise<void> {
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
