import {type BackendServer} from '../../pipelines/backend-server.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {LimitReservation} from '../limit-reservation.js';
import {type RelayRequest} from '../relay-request.js';
import {type PlainLog} from './plain-log.js';
import {type PlainServerChoice} from './plain-server-choice.js';

const millisecondsPerSecond = 1000;
/** Fraction of the time left for which a request waits for the limit of a server at most. */
const maxLimitWaitFraction = 0.5;

/** Why a request can't wait for the limit of a server. */
export type LimitRefusal = {
	readonly reason: string;
	/** Seconds after which a server accepts the request; undefined if that is not known. */
	readonly retryAfterSeconds?: number;
};

/** Waits until the limit of a server allows a plain request that finds no server to use now. */
export class PlainLimitWait {
	private readonly reservation: LimitReservation;

	constructor(private readonly dependencies: ExchangeDependencies, private readonly request: RelayRequest, private readonly servers: PlainServerChoice, private readonly log: PlainLog) {
		this.reservation = new LimitReservation(dependencies);
	}

	/**
	Reserves the next request that the limit of a server allows, and waits for it.

	@param attempts - attempts that were sent
	@param onDue - called when the request may be sent, without a server if the one of the reservation can't be used any more
	@returns undefined while it waits, or why it does not wait
	*/
	begin(attempts: number, onDue: (server: BackendServer | undefined) => void): LimitRefusal | undefined {
		const {request: {service, route, deadline}, dependencies: {timers}} = this;
		const now = timers.now();
		const next = this.servers.findNextAllowed(now);
		if (!next) {
			return {reason: `no server of service ${service.name} is listed, has a free connection and accepts requests of this instance`};
		}

		const {server, delay} = next;
		if (delay > Math.min(route.latencyTarget, (deadline - now) * maxLimitWaitFraction)) {
			return {reason: `the servers of service ${service.name} limit their requests`, retryAfterSeconds: delay / millisecondsPerSecond};
		}

		this.log.logWaiting(server, delay, attempts);
		this.reservation.begin(next, isUsable => {
			onDue(isUsable ? server : undefined);
		});
		return undefined;
	}

	/** Stops waiting. The reserved request is not given back. */
	cancel(): void {
		this.reservation.cancel();
	}
}
