import {type DecisionLog} from '../observation/decision-log.js';
import {type TimerService} from '../time/timer-service.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {isSameRange, type LayerRange} from './layer-range.js';

type Entry = {
	server: BackendServer;
	/** Monotonic time of the last reading that contained the server. */
	seenAt: number;
};

type RangeOverride = {
	readonly range: LayerRange;
	readonly setAt: number;
};

/** How long a range that is known from an order takes precedence over the listed one. */
const overrideDurationMs = 4000;
/** Incarnations remembered as leaving. */
const maxRememberedLeaving = 4000;

/** A reading of the list of backend servers. */
export type ServerListReading = {
	readonly servers: readonly BackendServer[];
	/** Monotonic time at which the reading was requested. */
	readonly requestedAt: number;
	/** Whether entries may be missing because their leases expired while the list was unavailable. */
	readonly mayBeIncomplete: boolean;
};

/**
The backend servers according to the last reading of the server list.

A server that is missing from a reading is removed, except while the list recovers from an outage. A server that was once listed as leaving keeps that state for the rest of its incarnation.
*/
export class ServerDirectory {
	private readonly entries = new Map<string, Entry>();
	private readonly leaving = new Set<string>();
	private readonly overrides = new Map<string, RangeOverride>();
	private readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly timers: TimerService, private readonly log: DecisionLog) {}

	/** Monotonic time of the last reading; -Infinity before the first one. */
	get lastReadAt(): number {
		return this.readAt;
	}

	/** Returns all listed servers, including those that are leaving. */
	all(): readonly BackendServer[] {
		return [...this.entries.values()].map(({server}) => server);
	}

	/** Returns the servers of a service that may get new requests. */
	usable(service: string): readonly BackendServer[] {
		return this.all().filter(server => server.service === service && !server.isLeaving);
	}

	/** Returns the listed server at an address; undefined if there is none. */
	findByAddress(address: string): BackendServer | undefined {
		return this.all().find(server => server.address === address);
	}

	/** Whether a later incarnation is listed under the server's id or address, so that this one has certainly ended. */
	isReplaced(server: BackendServer): boolean {
		return this.all().some(({id, address, startedAt}) => (id === server.id || address === server.address) && startedAt > server.startedAt);
	}

	/** Applies a reading; a reading that was requested before the last applied one is dropped. */
	applyReading({servers, requestedAt, mayBeIncomplete}: ServerListReading): void {
		if (requestedAt < this.readAt) {
			return;
		}

		this.readAt = requestedAt;
		const listed = new Set<string>();
		for (const server of servers) {
			listed.add(server.id);
			this.update(server, requestedAt);
		}

		if (!mayBeIncomplete) {
			this.removeMissing(listed);
		}
	}

	/** Records that the list was unchanged at a monotonic time. */
	markRead(at: number): void {
		this.readAt = Math.max(this.readAt, at);
	}

	/** Records that a server itself said that it is leaving, before the list shows it or while the list is unavailable. */
	markLeaving(server: BackendServer): void {
		const entry = this.entries.get(server.id);
		if (!entry || entry.server.isLeaving || getIncarnationId(entry.server) !== getIncarnationId(server)) {
			return;
		}

		this.rememberLeaving(getIncarnationId(server));
		entry.server = {...entry.server, isLeaving: true};
		this.log.write('server.leaving', {server: server.id, address: server.address, origin: 'response'});
	}

	/** Sets the range of a server whose layers changed by an order, before the list shows it. */
	overrideRange(incarnationId: string, range: LayerRange): void {
		for (const entry of this.entries.values()) {
			if (getIncarnationId(entry.server) === incarnationId && !isSameRange(entry.server.range, range)) {
				this.overrides.set(incarnationId, {range, setAt: this.timers.now()});
				entry.server = {...entry.server, range};
				this.log.write('server.range', {
					server: entry.server.id, from: range.from, to: range.to, origin: 'order',
				});
			}
		}
	}

	/** Returns the listed server with its range override, while the list does not show that range yet. */
	private withOverriddenRange(server: BackendServer): BackendServer {
		const incarnationId = getIncarnationId(server);
		const override = this.overrides.get(incarnationId);
		if (!override) {
			return server;
		}

		if (isSameRange(override.range, server.range) || this.timers.now() - override.setAt > overrideDurationMs) {
			this.overrides.delete(incarnationId);
			return server;
		}

		return {...server, range: override.range};
	}

	private update(listed: BackendServer, seenAt: number): void {
		const server = this.withOverriddenRange(listed);
		const known = this.entries.get(server.id);
		if (known && server.startedAt < known.server.startedAt) {
			return;
		}

		const incarnationId = getIncarnationId(server);
		const isLeaving = server.isLeaving || this.leaving.has(incarnationId);
		const isNewIncarnation = !known || getIncarnationId(known.server) !== incarnationId;
		if (isNewIncarnation) {
			this.log.write('server.listed', {
				server: server.id, address: server.address, zone: server.availabilityZone, card: server.card, leaving: isLeaving, from: server.range?.from, to: server.range?.to,
			});
		} else if (isLeaving && !known.server.isLeaving) {
			this.log.write('server.leaving', {server: server.id, address: server.address, origin: 'list'});
		} else if (!isSameRange(known.server.range, server.range)) {
			this.log.write('server.range', {server: server.id, from: server.range?.from, to: server.range?.to});
		}

		if (isLeaving) {
			this.rememberLeaving(incarnationId);
		}

		this.entries.set(server.id, {server: {...server, isLeaving}, seenAt});
	}

	/** Remembers that an incarnation leaves, also after its entry is gone: an older copy of the list may show it as serving again. */
	private rememberLeaving(incarnationId: string): void {
		this.leaving.add(incarnationId);
		if (this.leaving.size > maxRememberedLeaving) {
			const [oldest] = this.leaving;
			this.leaving.delete(oldest);
		}
	}

	private removeMissing(listed: ReadonlySet<string>): void {
		for (const [id, {server, seenAt}] of this.entries) {
			if (listed.has(id)) {
				continue;
			}

			this.entries.delete(id);
			this.log.write('server.gone', {server: id, address: server.address, unseenMs: Math.round(this.timers.now() - seenAt)});
		}
	}
}
