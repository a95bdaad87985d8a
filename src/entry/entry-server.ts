import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type CallerLimits} from '../catalog/caller-limits.js';
import {type Lifecycle} from '../lifecycle.js';
import {listen} from '../network/listen.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type ExchangeCodec} from '../relay/exchange-codec.js';
import {type ExchangeRegistry} from '../relay/exchange-registry.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {toFailure} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpCallerReply} from './http-caller-reply.js';
import {type RequestAuthorizer} from './request-authorizer.js';

/** The parts of an entry server. */
export type EntryServerParts = {
	readonly gate: RequestAuthorizer;
	readonly codec: ExchangeCodec;
	readonly desk: ExchangeRegistry;
	readonly lifecycle: Lifecycle;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

const mostHeaderBytes = 65_536;
const lowestPriority = 9;
/** Another instance takes the request at once. */
const drainingRetrySeconds = 0.2;
const defaultBodyLimit = 4_194_304;

/** Accepts callers' requests over HTTP and hands those that are allowed to the exchange desk. */
export class EntryServer {
	private readonly server: Server;
	private bodyLimit = defaultBodyLimit;

	constructor(private readonly parts: EntryServerParts) {
		this.server = createServer({maxHeaderSize: mostHeaderBytes, noDelay: true, keepAlive: true}, (message, response) => {
			void this.receive(message, response);
		});
	}

	/** Begins to accept connections. */
	async listen(host: string, port: number): Promise<void> {
		return listen(this.server, host, port);
	}

	/** Puts the limits of a catalog in force. */
	setLimits(limits: CallerLimits): void {
		this.bodyLimit = limits.maxBodyBytes;
		this.server.headersTimeout = limits.headerTimeout;
		this.server.keepAliveTimeout = limits.idleTimeout;
	}

	/** Closes connections on which no request is under way. */
	closeIdle(): void {
		this.server.closeIdleConnections();
	}

	/** Stops accepting connections. */
	stopListening(): void {
		this.server.close();
	}

	private async receive(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {parts} = this;
		const arrivedAt = parts.timers.now();
		const fields = parts.codec.decodeRequest(message);
		const reply = new HttpCallerReply(message, response, () => parts.codec.encodeReplyHeaders(fields.id), () => parts.lifecycle.isDraining);
		try {
			this.checkOpen();
			const address = {host: message.headers.host ?? '', target: message.url ?? '/', apiKey: fields.key};
			parts.gate.authorize(address);
			const body = await this.readBody(message);
			// The catalog may have changed while the body came in.
			const {route, service, workspace, version} = parts.gate.authorize(address);
			if (reply.isGone) {
				return;
			}

			parts.log.write('request.accepted', {
				request: fields.id, route: route.name, service: service.name, workspace: workspace?.name, version, patienceMs: fields.timeout,
			});
			parts.desk.start({
				id: fields.id,
				method: message.method ?? 'GET',
				target: message.url ?? '/',
				headers: fields.forwardedHeaders,
				body,
				route,
				service,
				workspace: workspace?.name,
				priority: Math.min(lowestPriority, workspace?.priority ?? route.priority),
				arrivedAt,
				deadline: arrivedAt + Math.min(route.timeout, fields.timeout ?? route.timeout),
				promptTokens: fields.promptTokens,
				maxAnswerTokens: fields.maxAnswerTokens,
				lastEventId: fields.lastEventId,
			}, reply);
		} catch (error) {
			this.refuse(reply, fields.id, toFailure(error), message);
		}
	}

	private checkOpen(): void {
		if (this.parts.lifecycle.isRefusing) {
			throw new Failure(ResultCode.Draining, 'the instance is about to stop', Execution.NotRun, drainingRetrySeconds);
		}
	}

	private refuse(reply: HttpCallerReply, id: string, failure: Failure, message: IncomingMessage): void {
		this.parts.log.warn('request.refused', {
			request: id, code: failure.code, execution: failure.execution, reason: failure.message,
		});
		this.parts.metrics.count('siskinnotch_refusals', 1, {code: String(failure.code)});
		if (!reply.isGone && !reply.isStarted) {
			reply.fail(failure);
		}

		message.resume();
	}

	private async readBody(message: IncomingMessage): Promise<Uint8Array> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		if (Number(message.headers['content-length'] ?? 0) > this.bodyLimit) {
			throw new Failure(ResultCode.BodyTooLarge, `the body is larger than ${this.bodyLimit} bytes`);
		}

		try {
			for await (const chunk of message as AsyncIterable<Uint8Array>) {
				length += chunk.length;
				if (length > this.bodyLimit) {
					break;
				}

				chunks.push(chunk);
			}
		} catch (error) {
			throw new Failure(ResultCode.CallerGone, `the body did not arrive: ${toFailure(error).message}`, Execution.NotRun);
		}

		if (length > this.bodyLimit) {
			throw new Failure(ResultCode.BodyTooLarge, `the body is larger than ${this.bodyLimit} bytes`);
		}

		return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
	}
}
