import * as z from 'zod';
import {type DecisionLog} from '../observation/decision-log.js';
import {type ReplicatedTable} from '../replication/replicated-table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type Table} from '../store/table.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

const instanceRowSchema = z.object({availabilityZone: z.string(), peers: z.string()});

/** A router instance, as described by its row in the table. */
export type RegisteredInstance = z.infer<typeof instanceRowSchema> & {readonly id: string};

type KnownInstance = {
	readonly instance: RegisteredInstance;
	/** Content and version of its row; undefined if it is only known from its messages. */
	readonly row?: string;
	/** Monotonic time in milliseconds at which the instance last showed that it runs. */
	readonly seenAt: number;
};

/** Timings of the registry, in milliseconds. */
export type RegistryTimings = {
	/** Interval between writes of this instance's own row. */
	readonly refreshInterval: number;
	/** Time after which an instance that showed no sign of running is removed. */
	readonly expiry: number;
	/** Interval between removals of expired instances. */
	readonly expiryCheckInterval: number;
	/** Pause before the own row is written again if that failed. */
	readonly retryPause: number;
	/** Time after the start after which the instances that sent messages count as all, if no copy of the table arrived. */
	readonly contactTime: number;
};

export type InstanceRegistryDependencies = {
	readonly table: Table;
	readonly timers: TimerService;
	readonly log: DecisionLog;
	/** Called when instances were added or removed, and when they become known. */
	readonly onChange: () => void;
};

/** Instances that are assumed to share the backend servers while they are not known: as many as the largest sites have, so that this one takes too little rather than too much. */
const assumedInstances = 370;

/** Tracks the instances that share the backend servers, from the copy of the table in which each keeps a row, and from their messages. */
export class InstanceRegistry {
	private readonly knownInstances = new Map<string, KnownInstance>();
	/** Rows of instances that were removed, so that the same row does not add them again. */
	private readonly expiredRows = new Map<string, string>();
	private ownRowVersion = 0;
	private isOwnRowWritten = false;
	private retryTimer?: TimerHandle;
	/** Era of the store in which the own row was last seen. */
	private ownRowEra?: number;
	private hasTable = false;
	private wasContacted = false;
	private isContactTimeOver = false;
	private current: readonly RegisteredInstance[];

	constructor(private readonly self: RegisteredInstance, private readonly dependencies: InstanceRegistryDependencies, private readonly timings: RegistryTimings) {
		this.current = [self];
	}

	/** Starts refreshing the own row and removing expired instances. */
	start(): void {
		const {timers} = this.dependencies;
		void this.refreshOwnRow();
		timers.repeat(this.timings.refreshInterval, () => {
			void this.refreshOwnRow();
		});
		timers.repeat(this.timings.expiryCheckInterval, () => {
			this.removeExpired();
		});
		timers.after(this.timings.contactTime, () => {
			this.isContactTimeOver = true;
			this.publish();
		});
	}

	/** Whether the other instances are known: from the table, or, if no copy of it arrived in time, from their messages. One message tells nothing of further instances. */
	get isInitialized(): boolean {
		return this.hasTable || (this.isContactTimeOver && this.wasContacted);
	}

	/** Returns the instances that share the backend servers, including this one; undefined while they are not known. */
	findSharing(): readonly RegisteredInstance[] | undefined {
		return this.isInitialized ? this.current : undefined;
	}

	/** Returns the number of instances by which what all of them may use together is divided; a large one while they are not known. */
	countSharing(): number {
		return this.isInitialized ? this.current.length : Math.max(this.current.length, assumedInstances);
	}

	/** All instances that are presumed to be running, including this one. */
	all(): readonly RegisteredInstance[] {
		return this.current;
	}

	/** Returns the ids of the other instances of the own availability zone. */
	findNeighbours(): readonly string[] {
		return this.current.filter(({id, availabilityZone}) => availabilityZone === this.self.availabilityZone && id !== this.self.id).map(({id}) => id);
	}

	/** Returns the number of availability zones with running instances. */
	countAvailabilityZones(): number {
		return new Set(this.current.map(({availabilityZone}) => availabilityZone)).size;
	}

	/** Records that an instance sent a message or answered one. */
	recordContact(instance: RegisteredInstance): void {
		const known = this.knownInstances.get(instance.id);
		const isKnown = known?.instance.peers === instance.peers;
		if (instance.id === this.self.id) {
			return;
		}

		this.knownInstances.set(instance.id, {instance: isKnown ? known.instance : instance, row: known?.row, seenAt: this.dependencies.timers.now()});
		const wasInitialized = this.isInitialized;
		this.wasContacted = true;
		if (!isKnown || this.isInitialized !== wasInitialized) {
			this.publish();
		}
	}

	/** Applies the rows of the table. A row that cannot be decoded is logged and ignored. No instance removes its row, so one that is missing was lost by the store and does not remove the instance. */
	update(table: ReplicatedTable): void {
		const keys = new Set<string>();
		for (const {key, transaction, text} of table.all()) {
			keys.add(key);
			this.applyRow(key, transaction, text ?? '');
		}

		this.hasTable = true;
		this.publish();
		this.restoreOwnRow(keys.has(this.self.id), table.position?.era);
	}

	/** Writes the own row now if that has failed so far, since the store serves this instance again. */
	retryOwnRow(): void {
		if (this.retryTimer && !this.isOwnRowWritten) {
			this.retryTimer.cancel();
			this.retryTimer = undefined;
			void this.refreshOwnRow();
		}
	}

	/** Replaces the own row by one that says that this instance has stopped. */
	async retire(): Promise<void> {
		await this.writeOwnRow('');
	}

	/** Writes the own row again if the store lost it when it returned from an older copy. */
	private restoreOwnRow(isListed: boolean, era: number | undefined): void {
		const isLost = !isListed && this.ownRowEra !== undefined && this.ownRowEra !== era;
		if (isListed || isLost) {
			this.ownRowEra = era;
		}

		if (isLost) {
			void this.refreshOwnRow();
		}
	}

	private async refreshOwnRow(): Promise<void> {
		const {availabilityZone, peers} = this.self;
		await this.writeOwnRow(JSON.stringify({availabilityZone, peers}));
	}

	private async writeOwnRow(value: string): Promise<void> {
		const {table, timers, log} = this.dependencies;
		const key = this.self.id;
		try {
			const result = await table.transact([{key, expected: this.ownRowVersion, value}]);
			if (!result.isApplied) {
				this.ownRowVersion = result.conflicts[0]?.version ?? 0;
				await table.transact([{key, expected: this.ownRowVersion, value}]);
			}

			this.isOwnRowWritten = value !== '';
		} catch (error) {
			log.write('members.not_refreshed', {reason: getErrorMessage(error)});
			if (value !== '' && !this.isOwnRowWritten) {
				this.retryTimer?.cancel();
				this.retryTimer = timers.after(this.timings.retryPause, () => {
					void this.refreshOwnRow();
				});
			}
		}
	}

	private applyRow(id: string, version: number, text: string): void {
		const row = `${version} ${text}`;
		if (id === this.self.id) {
			this.ownRowVersion = version;
			return;
		}

		if (this.knownInstances.get(id)?.row === row || this.expiredRows.get(id) === row) {
			return;
		}

		const instance = this.decodeRow(id, text);
		if (instance) {
			this.expiredRows.delete(id);
			this.knownInstances.set(id, {instance, row, seenAt: this.dependencies.timers.now()});
		} else {
			this.expiredRows.set(id, row);
			this.knownInstances.delete(id);
		}
	}

	/** Returns undefined for the row of a stopped instance and for one that cannot be decoded. */
	private decodeRow(id: string, text: string): RegisteredInstance | undefined {
		if (text === '') {
			return undefined;
		}

		try {
			return {id, ...instanceRowSchema.parse(JSON.parse(text))};
		} catch (error) {
			this.dependencies.log.warn('members.row_unreadable', {instance: id, reason: getErrorMessage(error)});
			return undefined;
		}
	}

	private removeExpired(): void {
		const now = this.dependencies.timers.now();
		const expired = [...this.knownInstances].filter(([, {seenAt}]) => now - seenAt > this.timings.expiry);
		for (const [id, {row}] of expired) {
			this.knownInstances.delete(id);
			if (row !== undefined) {
				this.expiredRows.set(id, row);
			}
		}

		if (expired.length > 0) {
			this.publish();
		}
	}

	private publish(): void {
		this.current = [this.self, ...[...this.knownInstances.values()].map(({instance}) => instance)];
		this.dependencies.onChange();
	}
}
