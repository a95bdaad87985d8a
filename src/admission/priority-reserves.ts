/** Arrivals and holding times of the requests of one priority. Times in milliseconds. */
type Traffic = {
	/** Decayed number of arrivals. */
	arrivals: number;
	/** Mean holding time; undefined before the first request ended. */
	holding?: number;
	readonly seenAt: number;
	updatedAt: number;
};

/** What the reserves need to know of the zone that the requests share. */
export type SharedCapacity = {
	/** Returns the number of instances whose requests use the same servers, including this one. */
	countInstances(): number;
	/** Returns the number of usual requests that the servers of a service hold at once; undefined if it is not known. */
	countRequests(service: string, now: number): number | undefined;
};

/** Time constant with which arrivals are forgotten. A burst lasts for seconds; a shorter time makes the rate of a few arrivals a second uncertain. */
const memoryMs = 10_000;
/** Shortest time over which a rate is computed. */
const minObservedMs = 2000;
const holdingSmoothing = 0.1;
/** Reserved requests, as a multiple of the square root of the offered load, which is the standard deviation of a Poisson distribution of running requests. */
const reserveFactor = 1;
/** Decayed number of arrivals below which a priority does not count as seen. */
const minArrivals = 0.05;
const maxServices = 64;
const maxPriorities = 16;

/**
Reserves a part of the capacity of each service for more urgent requests (trunk reservation; P. Key, "Optimal control and trunk reservation in loss networks", 1990).

The reserve for a priority covers the usual variation of the more urgent requests. Their offered load is that of this instance times the number of instances, since callers are spread evenly over the instances of a zone.
*/
export class PriorityReserves {
	private readonly services = new Map<string, Map<number, Traffic>>();

	/**
	@param maxReserve - largest fraction of the capacity that is reserved
	@param onFirstArrival - called when a request of a priority arrives for the first time
	*/
	constructor(private readonly capacity: SharedCapacity, private readonly maxReserve: number, private readonly onFirstArrival: (service: string, priority: number) => void = () => undefined) {}

	/** Records that a request arrived. */
	recordArrival(service: string, priority: number, now: number): void {
		const priorities = this.services.get(service) ?? new Map<number, Traffic>();
		const known = priorities.get(priority);
		if (!known && ((priorities.size === 0 && this.services.size >= maxServices) || priorities.size >= maxPriorities)) {
			return;
		}

		const traffic = known ?? {arrivals: 0, seenAt: now, updatedAt: now};
		traffic.arrivals = this.decay(traffic, now) + 1;
		traffic.updatedAt = now;
		priorities.set(priority, traffic);
		this.services.set(service, priorities);
		if (!known) {
			this.onFirstArrival(service, priority);
		}
	}

	/**
	Records that a request ended.

	@param duration - milliseconds since it was sent
	*/
	recordEnd(service: string, priority: number, duration: number): void {
		const traffic = this.services.get(service)?.get(priority);
		if (traffic) {
			traffic.holding = (traffic.holding ?? duration) + ((duration - (traffic.holding ?? duration)) * holdingSmoothing);
		}
	}

	/** Returns the number of more urgent priorities of which requests arrived lately. */
	countMoreUrgent(service: string, priority: number, now: number): number {
		return this.findMoreUrgent(service, priority, now).length;
	}

	/** Returns the requests of more urgent priorities that all instances together are expected to run at a time. */
	getOfferedLoad(service: string, priority: number, now: number): number {
		let load = 0;
		for (const traffic of this.findMoreUrgent(service, priority, now)) {
			const observed = memoryMs * (1 - Math.exp(-(now - traffic.seenAt) / memoryMs));
			load += this.decay(traffic, now) / Math.max(minObservedMs, observed) * (traffic.holding ?? 0);
		}

		return load * this.capacity.countInstances();
	}

	/**
	Returns the fraction of a server's capacity up to which requests of a priority may fill it; 1 for the most urgent one.

	@param isLate - whether the request can't be answered on time any more; it then leaves a reserve to those of its own priority as well, since a late answer is worth little and its capacity would make others late
	*/
	getOccupancyLimit(service: string, priority: number, now: number, isLate = false): number {
		const offered = this.getOfferedLoad(service, priority, now);
		if (isLate && offered > 0) {
			return this.computeLimit(service, this.getOfferedLoad(service, priority + 1, now), now);
		}

		return this.computeLimit(service, offered, now);
	}

	private computeLimit(service: string, offered: number, now: number): number {
		const requests = offered > 0 ? this.capacity.countRequests(service, now) : undefined;
		return requests === undefined || requests <= 0 ? 1 : 1 - Math.min(this.maxReserve, reserveFactor * Math.sqrt(offered) / requests);
	}

	private findMoreUrgent(service: string, priority: number, now: number): readonly Traffic[] {
		return [...this.services.get(service) ?? []]
			.filter(([other, traffic]) => other < priority && this.decay(traffic, now) >= minArrivals)
			.map(([, traffic]) => traffic);
	}

	private decay({arrivals, updatedAt}: Traffic, now: number): number {
		return arrivals * Math.exp(-Math.max(0, now - updatedAt) / memoryMs);
	}
}
