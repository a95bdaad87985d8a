import {type RegisteredInstance} from '../entry/instance-registry.js';
import {type TimerService} from '../time/timer-service.js';
import {type TableExchange} from './table-exchange.js';

/** Timings of a row fetcher, in milliseconds. */
export type RowFetchTimings = {
	/** Time that the own availability zone has to bring rows before they are fetched from another one. */
	readonly remoteFetchDelay: number;
	/** Time after which rows are also fetched from another instance than the one that is sending them. */
	readonly fetchPatience: number;
};

export type RowFetcherDependencies = {
	/** Availability zone of this instance. */
	readonly availabilityZone: string;
	readonly tables: Pick<TableExchange, 'isLackingRows'>;
	readonly timers: TimerService;
	/** Fetches the rows that an instance has and this one lacks, and applies them. Resolves also if that fails. */
	readonly fetch: (sender: RegisteredInstance) => Promise<unknown>;
};

/** Instances from which rows are fetched at a time. */
const maxFetches = 3;

/** Decides from which other instances the rows are fetched that this one lacks. */
export class RowFetcher {
	/** Ids of the instances from which rows are being fetched. */
	private readonly fetches = new Set<string>();
	/** Monotonic time in milliseconds at which the latest fetch began. */
	private fetchedAt = Number.NEGATIVE_INFINITY;
	/** The latest instance that had rows which this one lacked while it was fetching. */
	private nextSender?: RegisteredInstance;
	private isRemoteFetchScheduled = false;

	constructor(private readonly dependencies: RowFetcherDependencies, private readonly timings: RowFetchTimings) {}

	/** Fetches the rows that another instance has and this one lacks. Those of another availability zone are fetched only if the own zone does not bring them soon. */
	catchUpWith(sender: RegisteredInstance): void {
		const {availabilityZone, tables, timers} = this.dependencies;
		if (sender.availabilityZone === availabilityZone) {
			void this.fetchFrom(sender);
			return;
		}

		if (this.isRemoteFetchScheduled) {
			return;
		}

		this.isRemoteFetchScheduled = true;
		timers.after(this.timings.remoteFetchDelay, () => {
			this.isRemoteFetchScheduled = false;
			if (tables.isLackingRows()) {
				void this.fetchFrom(sender);
			}
		});
	}

	/** Fetches rows from an instance. If that takes long, they are also fetched from the next ones that have them, but only from a few at a time. */
	private async fetchFrom(sender: RegisteredInstance): Promise<void> {
		const {tables, timers, fetch} = this.dependencies;
		const isPatient = this.fetches.size > 0 && timers.now() - this.fetchedAt < this.timings.fetchPatience;
		if (isPatient || this.fetches.has(sender.id) || this.fetches.size >= maxFetches) {
			this.nextSender = sender;
			return;
		}

		this.fetchedAt = timers.now();
		this.fetches.add(sender.id);
		timers.after(this.timings.fetchPatience, () => {
			if (this.nextSender && tables.isLackingRows()) {
				void this.fetchFrom(this.nextSender);
			}
		});
		await fetch(sender);
		this.fetches.delete(sender.id);
	}
}
