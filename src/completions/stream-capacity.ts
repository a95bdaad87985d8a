import {type Service} from '../configuration/sheet-row.js';
import {type Fleet} from '../routing/fleet.js';
import {computeMaximumFlow} from '../routing/maximum-flow.js';

const smoothingFactor = 0.05;
const initialGapMs = 10;
const initialTokens = 32;

/**
Computes how many streams this instance may run concurrently.

By Little's law, a maximum rate of R tokens per second sustains R × g streams that each receive one token every g seconds. Each instance gets an equal share of these slots, plus an equal share of the slots that load reports show as free, so that uneven traffic across entry instances still uses all servers.
*/
export class StreamCapacity {
	private readonly tokenRates = new Map<string, {readonly revision: number; readonly total: number; readonly until: number}>();
	private averageGap = initialGapMs;
	private averageTokens = initialTokens;

	/**
	@param countInstances - returns the number of entry instances currently known
	@param maximumTokenGap - acceptable milliseconds between the tokens of a stream when all slots are in use
	*/
	constructor(private readonly fleet: Fleet, private readonly countInstances: () => number, private readonly maximumTokenGap: number) {}

	/**
	Computes the number of streams of a service that this instance may run concurrently, at least 1.

	@param ownStreams - streams of the service that this instance is running
	*/
	computeSlots(service: Service, ownStreams: number, now: number): number {
		const totalSlots = Math.ceil(this.computeTokenRate(service, now) * this.maximumTokenGap / 1000);
		const instanceCount = Math.max(1, this.countInstances());
		const freeSlots = Math.max(0, totalSlots - Math.max(ownStreams, this.countRunningStreams(service)));
		return Math.max(1, Math.ceil(totalSlots / instanceCount), ownStreams + Math.floor(freeSlots / instanceCount));
	}

	/** Estimates from recent completions how many milliseconds a completion takes. */
	estimateDuration(maximumTokens: number): number {
		return this.averageGap * Math.min(maximumTokens, this.averageTokens);
	}

	/**
	Updates the averages with a finished completion.

	@param duration - milliseconds that the completion took
	@param tokens - number of tokens delivered
	*/
	recordCompletion(duration: number, tokens: number): void {
		this.averageGap += ((duration / tokens) - this.averageGap) * smoothingFactor;
		this.averageTokens += (tokens - this.averageTokens) * smoothingFactor;
	}

	/** Maximum tokens per second that the servers of a service can carry. */
	computeTokenRate(service: Service, now: number): number {
		const cached = this.tokenRates.get(service.name);
		if (cached?.revision === this.fleet.revision && now < cached.until) {
			return cached.total;
		}

		let total = 0;
		for (const version of this.fleet.findVersions(service.name, service.version, now)) {
			total += computeMaximumFlow(this.fleet.findUsableServers(service.name, version, now), service.layers).total;
		}

		this.tokenRates.set(service.name, {revision: this.fleet.revision, total, until: now + 1000});
		return total;
	}

	/** Counts the running streams of all instances, as reported by the servers of the first stage. */
	private countRunningStreams(service: Service): number {
		let running = 0;
		for (const {listed, report} of this.fleet.getServers()) {
			if (listed.service === service.name && listed.firstLayer === 0) {
				running += report?.running ?? 0;
			}
		}

		return running;
	}
}
