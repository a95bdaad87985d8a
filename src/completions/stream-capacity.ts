import {type Service} from '../configuration/sheet-row.js';
import {type Fleet} from '../routing/fleet.js';
import {computeMaximumFlow} from '../routing/maximum-flow.js';

const weight = 0.05;
const firstGapMs = 10;
const firstTokens = 32;

/**
How many streams this instance may run at once.

By Little's law, a bound of R tokens a second gives R × g streams a token each g. Each instance has an equal part of these slots, and beyond that an equal part of the slots that reports show as free, so that uneven entry traffic still fills the servers.
*/
export class StreamCapacity {
	private readonly totals = new Map<string, {readonly changes: number; readonly total: number; readonly until: number}>();
	private gap = firstGapMs;
	private tokens = firstTokens;

	/**
	@param instances - the number of entry instances seen
	@param tokenGap - milliseconds between tokens that streams may have when all slots are taken
	*/
	constructor(private readonly fleet: Fleet, private readonly instances: () => number, private readonly tokenGap: number) {}

	/**
	Streams of a service that this instance may run at once, at least 1.

	@param own - streams of the service that it runs
	*/
	computeSlots(service: Service, own: number, now: number): number {
		const total = Math.ceil(this.computeTokenRate(service, now) * this.tokenGap / 1000);
		const sharers = Math.max(1, this.instances());
		const free = Math.max(0, total - Math.max(own, this.runningOn(service)));
		return Math.max(1, Math.ceil(total / sharers), own + Math.floor(free / sharers));
	}

	/** Milliseconds that an answer takes, from recent ones. */
	estimateDuration(maximumTokens: number): number {
		return this.gap * Math.min(maximumTokens, this.tokens);
	}

	/** Learns from an answer that took milliseconds for its tokens. */
	recordCompletion(duration: number, tokens: number): void {
		this.gap += ((duration / tokens) - this.gap) * weight;
		this.tokens += (tokens - this.tokens) * weight;
	}

	/** Tokens a second that the service's servers can carry. */
	computeTokenRate(service: Service, now: number): number {
		const known = this.totals.get(service.name);
		if (known?.changes === this.fleet.revision && now < known.until) {
			return known.total;
		}

		let total = 0;
		for (const version of this.fleet.findVersions(service.name, service.version, now)) {
			total += computeMaximumFlow(this.fleet.findUsableServers(service.name, version, now), service.layers).total;
		}

		this.totals.set(service.name, {changes: this.fleet.revision, total, until: now + 1000});
		return total;
	}

	/** Streams of all instances that the first stages report. */
	private runningOn(service: Service): number {
		let running = 0;
		for (const {listed, report} of this.fleet.getServers()) {
			if (listed.service === service.name && listed.firstLayer === 0) {
				running += report?.running ?? 0;
			}
		}

		return running;
	}
}
