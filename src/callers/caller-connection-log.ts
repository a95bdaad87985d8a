import {type Logger} from 'winston';
import {
	ConnectionObserver, type ConnectionEnd, type LostReply,
} from '../network/connection-observer.js';
import {type Metrics} from '../observation/metrics.js';

/** Counts connections of callers that this instance ends, and replies that are lost with their connections; logs them for a closer look. */
export class CallerConnectionLog extends ConnectionObserver {
	constructor(private readonly metrics: Metrics, private readonly log: Logger) {
		super();
	}

	recordEnd({cause, requests, openReplies, detail}: ConnectionEnd): void {
		this.metrics.count('siskinnotch_caller_connections_ended_total', 1, {cause});
		this.log.debug(`A caller connection was ended as ${cause} after ${requests} requests, with ${openReplies} open replies${detail === undefined ? '' : `: ${detail}`}.`);
	}

	recordLostReply({loss, message}: LostReply): void {
		this.metrics.count('siskinnotch_replies_lost_total', 1, {loss});
		this.log.debug(`A connection ended with a reply to ${message.method} ${message.url} ${loss}.`);
	}
}
