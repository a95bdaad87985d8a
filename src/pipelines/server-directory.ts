import {type DecisionLog} from '../observation/decision-log.js';
import {type TimerService} from '../time/timer-service.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {isSameRange, type LayerRange} from './layer-range.js';

type Entry = {
	server: BackendServer;
	/** Monotonic time of the reading that last showed it. */
	seenAt: number;
};

type LearntRange = {
	readonly range: LayerRange;
	readonly at: number;
};

/** How long a range that was learnt elsewhere goes before the list. */
const learntRangeMs = 4000;

/** A reading of the list of backend servers. */
export type ServerListReading = {
	readonly servers: readonly BackendServer[];
	/** Monotonic time at which the reading was asked for. */
	readonly requestedAt: number;
	/** Whether entries may be missing because their leases ran out while the list was unavailable. */
	readonly mayBeIncomplete: boolean;
};

/**
The backend servers as last listed.

A server that is missing from a reading is taken as gone, except while the list comes back from an outage. A server that was once seen leaving stays so for that life.
*/
export class ServerDirectory {
	private readonly entries = new Map<string, Entry>();
	private readonly leaving = new Set<string>();
	private readonly learnt = new Map<string, LearntRange>();
	private readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly timers: TimerService, private readonly log: DecisionLog) {}

	/** Monotonic time of the last reading. */
	get lastReadAt(): number {
		return this.readAt;
	}

	/** All listed servers, leaving ones included. */
	all(): readonly BackendServer[] {
		return [...this.entries.values()].map(({server}) => server);
	}

	/** The servers of a service that may get new work. */
	usable(service: string): readonly BackendServer[] {
		return this.all().filter(server => server.service === service && !server.isLeaving);
	}

	/** The listed server at an address; undefined where there is none. */
	findByAddress(address: string): BackendServer | undefined {
		return this.all().find(server => server.address === address);
	}

	/** Whether the server ended for certain, since a later life is listed in its place. */
	isReplaced(server: BackendServer): boolean {
		const current = this.entries.get(server.id)?.server;
		return current !== undefined && getIncarnationId(current) !== getIncarnationId(server);
	}

	/** Takes over a reading; readings that were asked for before the last one are dropped. */
	applyReading({servers, requestedAt: askedAt, mayBeIncomplete: mayLack}: ServerListReading): void {
		if (askedAt < this.readAt) {
			return;
		}

		this.readAt = askedAt;
		const listed = new Set<string>();
		for (const server of servers) {
			listed.add(server.id);
			this.update(server, askedAt);
		}

		if (!mayLack) {
			this.removeMissing(listed);
		}
	}

	/** A server holds other layers than the list shows so far. */
	overrideRange(life: string, range: LayerRange): void {
		for (const entry of this.entries.values()) {
			if (getIncarnationId(entry.server) === life && !isSameRange(entry.server.range, range)) {
				this.learnt.set(life, {range, at: this.timers.now()});
				entry.server = {...entry.server, range};
				this.log.write('server.range', {
					server: entry.server.id, from: range.from, to: range.to, origin: 'order',
				});
			}
		}
	}

	/** The server as listed, with the range that was learnt since where the list does not show it yet. */
	private withLearntRange(server: BackendServer): BackendServer {
		const life = getIncarnationId(server);
		const learnt = this.learnt.get(life);
		if (!learnt) {
			return server;
		}

		if (isSameRange(learnt.range, server.range) || this.timers.now() - learnt.at > learntRangeMs) {
			this.learnt.delete(life);
			return server;
		}

		return {...server, range: learnt.range};
	}

	private update(listed: BackendServer, seenAt: number): void {
		const server = this.withLearntRange(listed);
		const known = this.entries.get(server.id);
		if (known && server.startedAt < known.server.startedAt) {
			return;
		}

		const life = getIncarnationId(server);
		const isLeaving = server.isLeaving || this.leaving.has(life);
		const isNewLife = !known || getIncarnationId(known.server) !== life;
		if (isNewLife) {
			this.log.write('server.listed', {
				server: server.id, address: server.address, zone: server.availabilityZone, card: server.card, leaving: isLeaving, from: server.range?.from, to: server.range?.to,
			});
		} else if (isLeaving && !known.server.isLeaving) {
			this.log.write('server.leaving', {server: server.id, address: server.address, origin: 'list'});
		} else if (!isSameRange(known.server.range, server.range)) {
			this.log.write('server.range', {server: server.id, from: server.range?.from, to: server.range?.to});
		}

		if (isLeaving) {
			this.leaving.add(life);
		}

		this.entries.set(server.id, {server: {...server, isLeaving}, seenAt});
	}

	private removeMissing(listed: ReadonlySet<string>): void {
		for (const [id, {server, seenAt}] of this.entries) {
			if (listed.has(id)) {
				continue;
			}

			this.entries.delete(id);
			this.leaving.delete(getIncarnationId(server));
			this.log.write('server.gone', {server: id, address: server.address, unseenMs: Math.round(this.timers.now() - seenAt)});
		}
	}
}
