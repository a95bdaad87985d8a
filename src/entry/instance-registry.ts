import * as z from 'zod';
import {type DecisionLog} from '../observation/decision-log.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type Table} from '../store/table.js';
import {type TimerService} from '../time/timer-service.js';

const instanceRowSchema = z.object({availabilityZone: z.string(), peers: z.string()});
const rowKeyPrefix = 'members/';
/** Extra reads after the start: instances that start together write their rows at about the same time, so the first read may miss some. */
const earlyReadDelaysMs = [1500, 5000];

/** A router instance, as described by its row in the table. */
export type RegisteredInstance = z.infer<typeof instanceRowSchema> & {readonly id: string};

type KnownInstance = {
	readonly instance: RegisteredInstance;
	rowVersion: number;
	/** Monotonic time in milliseconds at which the row was last seen to change. */
	changedAt: number;
};

/** Timings of the registry, in milliseconds. */
export type RegistryTimings = {
	/** Interval between writes of this instance's own row. */
	readonly refreshInterval: number;
	/** Interval between reads of all rows. */
	readonly readInterval: number;
	/** Time after which an instance whose row has not changed is removed. */
	readonly rowExpiry: number;
};

/** Tracks the instances that share the backend servers. Each instance refreshes a row of its own in the table and reads the rows of the others. */
export class InstanceRegistry {
	private readonly knownInstances = new Map<string, KnownInstance>();
	private ownRowVersion = 0;
	private isReading = false;
	private wasInitialized = false;

	constructor(
		private readonly self: RegisteredInstance,
		private readonly dependencies: {readonly table: Table; readonly timers: TimerService; readonly log: DecisionLog; readonly onChange: () => void},
		private readonly timings: RegistryTimings,
	) {}

	/** Starts refreshing the own row and reading the others. */
	start(): void {
		void this.refreshOwnRow();
		void this.readRows();
		for (const delay of earlyReadDelaysMs) {
			this.dependencies.timers.after(delay, () => {
				void this.readRows();
			});
		}

		this.dependencies.timers.repeat(this.timings.refreshInterval, () => {
			void this.refreshOwnRow();
		});
		this.dependencies.timers.repeat(this.timings.readInterval, () => {
			void this.readRows();
		});
	}

	/** Whether the other instances are known: read from the table or received from a peer at least once. */
	get isInitialized(): boolean {
		return this.wasInitialized;
	}

	/** All instances that are presumed to be running, including this one. */
	all(): readonly RegisteredInstance[] {
		return [this.self, ...[...this.knownInstances.values()].map(({instance}) => instance).filter(({id}) => id !== this.self.id)];
	}

	/** Adds instances that a peer reported and that are not known yet. */
	merge(instances: readonly RegisteredInstance[]): void {
		const now = this.dependencies.timers.now();
		for (const instance of instances) {
			if (instance.id !== this.self.id && !this.knownInstances.has(instance.id)) {
				this.knownInstances.set(instance.id, {instance, rowVersion: 0, changedAt: now});
			}
		}

		this.wasInitialized = true;
		this.dependencies.onChange();
	}

	private async refreshOwnRow(): Promise<void> {
		const {id, availabilityZone, peers} = this.self;
		const value = JSON.stringify({availabilityZone, peers});
		try {
			const result = await this.dependencies.table.transact([{key: rowKeyPrefix + id, expected: this.ownRowVersion, value}]);
			if (!result.isApplied) {
				this.ownRowVersion = result.conflicts[0]?.version ?? 0;
				await this.dependencies.table.transact([{key: rowKeyPrefix + id, expected: this.ownRowVersion, value}]);
			}
		} catch (error) {
			this.dependencies.log.write('members.not_refreshed', {reason: getErrorMessage(error)});
		}
	}

	private async readRows(): Promise<void> {
		if (this.isReading) {
			return;
		}

		this.isReading = true;
		try {
			const rows = await this.dependencies.table.scan(rowKeyPrefix);
			const now = this.dependencies.timers.now();
			for (const {key, version, value} of rows) {
				this.applyRow(key.slice(rowKeyPrefix.length), version, value, now);
			}

			this.wasInitialized = true;
			this.removeExpired(now);
			this.dependencies.onChange();
		} catch (error) {
			this.dependencies.log.write('members.not_read', {reason: getErrorMessage(error)});
		} finally {
			this.isReading = false;
		}
	}

	private applyRow(id: string, version: number, value: string, now: number): void {
		if (id === this.self.id) {
			this.ownRowVersion = version;
			return;
		}

		const known = this.knownInstances.get(id);
		if (known?.rowVersion === version) {
			return;
		}

		const parsed = instanceRowSchema.safeParse(JSON.parse(value));
		if (parsed.success) {
			this.knownInstances.set(id, {instance: {id, ...parsed.data}, rowVersion: version, changedAt: now});
		}
	}

	private removeExpired(now: number): void {
		for (const [id, {changedAt}] of this.knownInstances) {
			if (now - changedAt > this.timings.rowExpiry) {
				this.knownInstances.delete(id);
			}
		}
	}
}
