import {type IncomingMessage} from 'node:http';
import {
	ConnectionObserver, type ConnectionEnd, type LostReply,
} from '../network/connection-observer.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type ExchangeCodec} from '../relay/exchange-codec.js';

/** Logs and counts connections of callers that this instance ends, and replies that are lost with their connections. */
export class ConnectionLog extends ConnectionObserver {
	constructor(private readonly codec: ExchangeCodec, private readonly metrics: Metrics, private readonly log: DecisionLog) {
		super();
	}

	recordEnd({cause, requests, openReplies, detail}: ConnectionEnd): void {
		this.metrics.count('siskinnotch_caller_connections_ended', 1, {cause});
		this.log.write('connection.ended', {
			cause, requests, openReplies, reason: detail,
		});
	}

	recordLostReply({loss, message, response}: LostReply): void {
		this.metrics.count('siskinnotch_replies_lost', 1, {loss});
		this.log.write('reply.lost', {
			request: this.findId(message), loss, status: response.headersSent ? response.statusCode : undefined,
		});
	}

	/** Returns the id of a request; empty if its head can't be decoded. */
	private findId(message: IncomingMessage): string {
		try {
			return this.codec.decodeRequest(message).id;
		} catch {
			return '';
		}
	}
}
