import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type CallerLimits} from '../catalog/caller-limits.js';
import {type Lifecycle} from '../lifecycle.js';
import {type CallerIntake} from '../network/caller-intake.js';
import {CallerServer} from '../network/caller-server.js';
import {findRequestHeadFault} from '../network/head-faults.js';
import {listen} from '../network/listen.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type CrashGuard} from '../quarantine/crash-guard.js';
import {computeRequestFingerprint} from '../quarantine/request-fingerprint.js';
import {type ExchangeCodec} from '../relay/exchange-codec.js';
import {type ExchangeRegistry} from '../relay/exchange-registry.js';
import {type TableCurrency} from '../replication/table-currency.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage, toFailure} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {CarefulAuthorizer} from './careful-authorizer.js';
import {ConnectionLog} from './connection-log.js';
import {HttpCallerReply} from './http-caller-reply.js';
import {ReceptionDeadline} from './reception-deadline.js';
import {type RequestAuthorizer} from './request-authorizer.js';

/** Dependencies of an entry server. */
export type EntryServerDependencies = {
	readonly authorizer: RequestAuthorizer;
	readonly intake: CallerIntake;
	readonly catalogCurrency: TableCurrency;
	readonly codec: ExchangeCodec;
	readonly exchanges: ExchangeRegistry;
	readonly crashGuard: CrashGuard;
	readonly lifecycle: Lifecycle;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** In force until the first catalog is applied. */
const defaultMaxHeaderBytes = 65_536;
/** Priorities run from 0, the most urgent, to this value. */
const lowestPriority = 9;
/** Sent as Retry-After while draining; short, because another instance can accept the request at once. */
const drainingRetrySeconds = 0.2;
/** Prompt parts of a request that are logged. */
const maxLoggedParts = 8;
/** In force until the first catalog is applied. */
const defaultMaxBodyBytes = 4_194_304;

/** Accepts HTTP requests from callers, authorizes them and starts an exchange for each. */
export class EntryServer {
	private readonly server: CallerServer;
	private readonly authorizer: CarefulAuthorizer;
	private pending = 0;
	private maxBodyBytes = defaultMaxBodyBytes;

	constructor(private readonly dependencies: EntryServerDependencies) {
		this.authorizer = new CarefulAuthorizer(dependencies);
		const {codec, intake, metrics, log} = dependencies;
		this.server = new CallerServer({maxHeaderSize: defaultMaxHeaderBytes, noDelay: true, keepAlive: true}, (message, response) => {
			void this.handleRequest(message, response);
		}, new ConnectionLog(codec, metrics, log), intake);
	}

	/** Starts accepting connections. Rejects if the address cannot be bound. */
	async listen(host: string, port: number): Promise<void> {
		return listen(this.server, host, port);
	}

	/** Applies the limits of a catalog. */
	setLimits(limits: CallerLimits): void {
		this.maxBodyBytes = limits.maxBodyBytes;
		this.server.maxHeaderSize = limits.maxHeaderBytes;
		this.server.headersTimeout = limits.headerTimeout;
		this.server.keepAliveTimeout = limits.idleTimeout;
	}

	/** Closes connections that have no request in flight, once the input that has arrived is read; resolves afterwards. */
	async closeIdle(): Promise<void> {
		await this.server.closeIdle();
	}

	/** Handles input that has arrived. Resolves to whether more connections may be waiting. */
	async acceptArrived(): Promise<boolean> {
		return this.server.acceptArrived();
	}

	/** Stops accepting connections; open ones stay open. */
	stopListening(): void {
		this.server.close();
	}

	/** Number of requests that are being received or authorized. */
	get pendingRequests(): number {
		return this.pending;
	}

	/** Number of replies whose bytes have not all left this process, with those that have not begun. */
	get openReplies(): number {
		return this.server.openReplies;
	}

	private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		this.pending++;
		try {
			await this.acceptRequest(message, response);
		} catch (error) {
			this.failUnexpectedly(error, message, response);
		} finally {
			this.pending--;
		}
	}

	/** Replies to a request whose handling threw. It ends alone, and neither the process nor the other requests with it. */
	private failUnexpectedly(error: unknown, message: IncomingMessage, response: ServerResponse): void {
		const failure = new Failure(ResultCode.InternalError, getErrorMessage(error), Execution.Unknown);
		const reply = new HttpCallerReply(message, response, {getReplyHeaders: () => [], shouldCloseConnection: () => true, rests: this.dependencies.intake.rests});
		this.refuse(reply, '', failure, message);
	}

	private async acceptRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {dependencies} = this;
		const arrivedAt = dependencies.timers.now();
		const callerHeaders = dependencies.codec.decodeRequest(message);
		const reply = new HttpCallerReply(message, response, {
			getReplyHeaders: () => dependencies.codec.encodeReplyHeaders(callerHeaders.id),
			shouldCloseConnection: () => dependencies.lifecycle.isDraining,
			rests: dependencies.intake.rests,
		});
		const reception = dependencies.intake.receive(message, () => this.maxBodyBytes);
		try {
			this.checkAcceptsRequests();
			this.checkHead(message);
			const authorizationRequest = {host: message.headers.host ?? '', target: message.url ?? '/', apiKey: callerHeaders.key};
			const deadline = new ReceptionDeadline(dependencies.timers, {
				arrivedAt, patience: callerHeaders.timeout, findRouteTimeout: () => dependencies.authorizer.findTimeout(authorizationRequest),
			});
			await this.authorizer.authorize(authorizationRequest, arrivedAt, callerHeaders.timeout);
			const body = await deadline.limit(async () => reception.read());
			// The caller may have left before the request was read.
			await dependencies.timers.handleInput();
			// The catalog may have changed while the body was received.
			const {route, service, workspace, version} = await this.authorizer.authorize(authorizationRequest, arrivedAt, callerHeaders.timeout);
			if (reply.isGone) {
				this.logLeft(reply, callerHeaders.id, arrivedAt);
				return;
			}

			const replyDeadline = deadline.check(route.timeout);
			// The notice period of a shutdown may have ended while the body was received or the request was held.
			this.checkAcceptsRequests();

			const method = message.method ?? 'GET';
			const {host, target} = authorizationRequest;
			const fingerprint = computeRequestFingerprint({
				host, method, target, workspace: workspace?.name, body,
			});
			dependencies.crashGuard.check([fingerprint, ...callerHeaders.promptParts]);

			dependencies.log.write('request.accepted', {
				request: callerHeaders.id,
				route: route.name,
				service: service.name,
				workspace: workspace?.name,
				version,
				patienceMs: callerHeaders.timeout,
				fingerprint,
				parts: callerHeaders.promptParts.slice(0, maxLoggedParts).join(' '),
			});
			dependencies.exchanges.start({
				id: callerHeaders.id,
				method,
				target,
				headers: callerHeaders.forwardedHeaders,
				body,
				route,
				service,
				workspace: workspace?.name,
				priority: Math.min(lowestPriority, workspace?.priority ?? route.priority),
				arrivedAt,
				deadline: replyDeadline,
				promptTokens: callerHeaders.promptTokens,
				maxAnswerTokens: callerHeaders.maxAnswerTokens,
				answerEstimate: callerHeaders.answerEstimate,
				lastEventId: callerHeaders.lastEventId,
				promptParts: callerHeaders.promptParts,
				fingerprint,
			}, reply);
		} catch (error) {
			reception.end();
			this.refuse(reply, callerHeaders.id, toFailure(error), message);
		}
	}

	private checkAcceptsRequests(): void {
		if (this.dependencies.lifecycle.isRefusing) {
			throw new Failure(ResultCode.Draining, 'the instance is shutting down', Execution.NotRun, drainingRetrySeconds);
		}
	}

	/** Refuses a request whose head could not be passed on: the parser of the runtime accepts more than its writer does. */
	private checkHead(message: IncomingMessage): void {
		const fault = findRequestHeadFault(message);
		if (fault !== undefined) {
			throw new Failure(ResultCode.HeadMalformed, fault);
		}
	}

	/** Logs that a request ends without a reply because its caller seems to have left before it was accepted. */
	private logLeft(reply: HttpCallerReply, id: string, arrivedAt: number): void {
		const {log, metrics, timers} = this.dependencies;
		metrics.count('siskinnotch_requests_left_early');
		log.write('request.left', {
			request: id,
			attempts: 0,
			isStarted: reply.isStarted,
			isEndedByCaller: reply.isEndedByCaller,
			afterMs: Math.round(timers.now() - arrivedAt),
			reason: 'the caller ended or reset the connection before the request was accepted',
		});
	}

	private refuse(reply: HttpCallerReply, id: string, failure: Failure, message: IncomingMessage): void {
		const {isBehind, age} = this.dependencies.catalogCurrency.describe();
		const isSent = !reply.isGone && !reply.isStarted;
		this.dependencies.log.warn('request.refused', {
			request: id, code: failure.code, execution: failure.execution, reason: failure.message, isSent, isCatalogBehind: isBehind, catalogAgeMs: Math.round(age),
		});
		this.dependencies.metrics.count('siskinnotch_refusals', 1, {code: String(failure.code)});
		if (isSent) {
			reply.fail(failure);
		} else if (!reply.isGone) {
			reply.abort();
		}

		this.dependencies.intake.rests.limitRest(message);
	}
}
