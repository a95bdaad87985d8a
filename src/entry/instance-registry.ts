import * as z from 'zod';
import {type DecisionLog} from '../observation/decision-log.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type Table} from '../store/table.js';
import {type TimerService} from '../time/timer-service.js';

const memberSchema = z.object({availabilityZone: z.string(), peers: z.string()});
const prefix = 'members/';
/** Instances that start together write their rows at about the same time, so the first reading may miss some. */
const earlyReadingsMs = [1500, 5000];

/** An instance of the system as its row tells. */
export type RegisteredInstance = z.infer<typeof memberSchema> & {readonly id: string};

type Seen = {
	readonly member: RegisteredInstance;
	version: number;
	/** Monotonic time at which its row was last seen to change. */
	changedAt: number;
};

/** Times of the register, in milliseconds. */
export type RegistryTimings = {
	/** Between writings of the own row. */
	readonly refresh: number;
	/** Between readings of all rows. */
	readonly period: number;
	/** How long a row counts that does not change. */
	readonly expiry: number;
};

/** Knows the instances that send work to the same backend servers, by rows in the table that each of them refreshes. */
export class InstanceRegistry {
	private readonly seen = new Map<string, Seen>();
	private ownVersion = 0;
	private isBusy = false;
	private wasRead = false;

	constructor(
		private readonly self: RegisteredInstance,
		private readonly parts: {readonly table: Table; readonly timers: TimerService; readonly log: DecisionLog; readonly onChange: () => void},
		private readonly times: RegistryTimings,
	) {}

	/** Begins to refresh and to read. */
	start(): void {
		void this.refresh();
		void this.read();
		for (const delay of earlyReadingsMs) {
			this.parts.timers.after(delay, () => {
				void this.read();
			});
		}

		this.parts.timers.repeat(this.times.refresh, () => {
			void this.refresh();
		});
		this.parts.timers.repeat(this.times.period, () => {
			void this.read();
		});
	}

	/** Whether the other instances are known. */
	get isInitialized(): boolean {
		return this.wasRead;
	}

	/** All instances that are thought to run, this one included. */
	all(): readonly RegisteredInstance[] {
		return [this.self, ...[...this.seen.values()].map(({member}) => member).filter(({id}) => id !== this.self.id)];
	}

	/** Takes over instances that another one knows. */
	merge(members: readonly RegisteredInstance[]): void {
		const now = this.parts.timers.now();
		for (const member of members) {
			if (member.id !== this.self.id && !this.seen.has(member.id)) {
				this.seen.set(member.id, {member, version: 0, changedAt: now});
			}
		}

		this.wasRead = true;
		this.parts.onChange();
	}

	private async refresh(): Promise<void> {
		const {id, availabilityZone, peers} = this.self;
		const value = JSON.stringify({availabilityZone, peers});
		try {
			const outcome = await this.parts.table.transact([{key: prefix + id, expected: this.ownVersion, value}]);
			if (!outcome.isApplied) {
				this.ownVersion = outcome.conflicts[0]?.version ?? 0;
				await this.parts.table.transact([{key: prefix + id, expected: this.ownVersion, value}]);
			}
		} catch (error) {
			this.parts.log.write('members.not_refreshed', {reason: getErrorMessage(error)});
		}
	}

	private async read(): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		try {
			const rows = await this.parts.table.scan(prefix);
			const now = this.parts.timers.now();
			for (const {key, version, value} of rows) {
				this.note(key.slice(prefix.length), version, value, now);
			}

			this.wasRead = true;
			this.expire(now);
			this.parts.onChange();
		} catch (error) {
			this.parts.log.write('members.not_read', {reason: getErrorMessage(error)});
		} finally {
			this.isBusy = false;
		}
	}

	private note(id: string, version: number, value: string, now: number): void {
		if (id === this.self.id) {
			this.ownVersion = version;
			return;
		}

		const known = this.seen.get(id);
		if (known?.version === version) {
			return;
		}

		const reading = memberSchema.safeParse(JSON.parse(value));
		if (reading.success) {
			this.seen.set(id, {member: {id, ...reading.data}, version, changedAt: now});
		}
	}

	private expire(now: number): void {
		for (const [id, {changedAt}] of this.seen) {
			if (now - changedAt > this.times.expiry) {
				this.seen.delete(id);
			}
		}
	}
}
