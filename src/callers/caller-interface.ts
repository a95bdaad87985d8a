import {createServer, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {randomUUID} from 'node:crypto';
import Router from '@koa/router';
import Koa, {type Context} from 'koa';
import getRawBody from 'raw-body';
import {type Logger} from 'winston';
import * as z from 'zod';
import {type ActionLedger} from '../actions/action-ledger.js';
import {type Invariants} from '../observation/invariants.js';
import {type Metrics} from '../observation/metrics.js';
import {type Tracing} from '../observation/tracing.js';
import {type PlainDispatcher} from '../plain/plain-dispatcher.js';
import {type DraftService} from '../drafts/draft-service.js';
import {Failure} from '../results/failure.js';
import {Execution} from '../results/execution.js';
import {ResultCode} from '../results/result-code.js';
import {messageOf, toFailure} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type Lifecycle} from '../lifecycle.js';
import {readDeadline, readIdempotencyKey, readPriority} from './caller-headers.js';
import {ChatExchange} from './chat-exchange.js';
import {parseJson, readChatRequest} from './chat-request.js';
import {type Gate} from './gate.js';
import {refusalOf, statusOf} from './refusal.js';

/** Limits of the caller interface. */
export type CallerLimits = {
	/** Bytes. */
	readonly body: number;
	/** Milliseconds for a request's headers to arrive. */
	readonly headers: number;
	/** Milliseconds that a request may take. */
	readonly deadline: number;
};

/** What the caller interface calls. */
export type CallerParts = {
	readonly gate: Gate;
	readonly drafts: DraftService;
	readonly plain: PlainDispatcher;
	readonly ledger: ActionLedger;
	readonly timers: TimerService;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly lifecycle: Lifecycle;
	readonly log: Logger;
};

const operationPathSchema = z.object({service: z.string(), operation: z.string()});
const actionPathSchema = z.object({key: z.string()});
const requestIdHeader = 'x-request-id';
const executionHeader = 'x-execution';

/** The HTTP interface for callers: OpenAI's chat completions and models, plain services, health and metrics. */
export class CallerInterface {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private open = 0;

	constructor(private readonly limits: CallerLimits, private readonly parts: CallerParts) {
		const app = new Koa();
		app.on('error', error => {
			parts.log.debug(`A connection failed: ${messageOf(error)}.`);
		});
		app.use(async (exchange, next) => this.guard(exchange, next));
		app.use(this.routes().routes());
		app.use(() => {
			throw new Failure(ResultCode.PathUnknown, 'see the README for the paths and methods offered');
		});
		const handle = app.callback();
		this.server = createServer({headersTimeout: limits.headers, requestTimeout: limits.headers * 2, connectionsCheckingInterval: 1000}, (request, response) => {
			void handle(request, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** Number of requests that are not answered yet. */
	get inFlight(): number {
		return this.open;
	}

	/** Listens on an address; rejects where it cannot be had. */
	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, resolve);
		});
	}

	/** Stops listening and closes what is idle; requests in flight go on. */
	stopListening(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	/** Closes all connections. */
	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private routes(): Router {
		const router = new Router();
		router.get('/health', exchange => {
			exchange.body = {status: 'alive'};
		});
		router.get('/ready', exchange => {
			const obstacle = this.parts.lifecycle.isDraining ? new Failure(ResultCode.Draining, 'the instance is stopping') : this.parts.gate.obstacle();
			if (obstacle) {
				throw obstacle;
			}

			exchange.body = {status: 'ready', version: this.parts.gate.version};
		});
		router.get('/metrics', exchange => {
			exchange.type = 'text/plain';
			exchange.body = this.parts.metrics.render();
		});
		router.get('/v1/models', exchange => {
			this.listModels(exchange);
		});
		router.post('/v1/chat/completions', async exchange => this.complete(exchange));
		router.post('/v1/services/:service/:operation', async exchange => this.callPlain(exchange));
		router.get('/v1/actions/:key', async exchange => this.lookUp(exchange));
		return router;
	}

	/** Counts the request and turns failures into refusals. */
	private async guard(exchange: Context, next: () => Promise<void>): Promise<void> {
		this.open++;
		const done = () => {
			this.open--;
		};

		exchange.res.once('close', done);
		if (this.parts.lifecycle.isDraining) {
			exchange.set('connection', 'close');
		}

		try {
			await next();
		} catch (error) {
			this.refuse(exchange, toFailure(error));
		}
	}

	private refuse(exchange: Context, failure: Failure): void {
		this.parts.metrics.count('siskinnotch_refusals_total', 1, {code: ResultCode[failure.code]});
		if (failure.code === ResultCode.InternalError) {
			this.parts.log.error(`A request failed: ${failure.stack ?? failure.message}.`);
		}

		exchange.status = statusOf(failure);
		exchange.body = refusalOf(failure);
		exchange.set(executionHeader, failure.execution);
		if (failure.retryAfterSeconds !== undefined) {
			exchange.set('retry-after', String(failure.retryAfterSeconds));
		}

		if (failure.code === ResultCode.BodyTooLarge) {
			exchange.set('connection', 'close');
		}
	}

	private listModels(exchange: Context): void {
		const {configuration, workspace} = this.parts.gate.admit(exchange.headers);
		const services = configuration.sheet.services().filter(({name, model}) => model !== '' && configuration.sheet.isGranted(workspace.name, name));
		exchange.body = {
			object: 'list',
			data: services.map(({model, name}) => ({
				id: model, object: 'model', created: 0, owned_by: name, // eslint-disable-line @typescript-eslint/naming-convention
			})),
		};
	}

	private async complete(exchange: Context): Promise<void> {
		const {gate, drafts, timers, tracing, metrics, invariants, log} = this.parts;
		const admittance = gate.admit(exchange.headers);
		const {workspace, configuration} = admittance;
		const deadline = timers.now() + readDeadline(exchange.headers, this.limits.deadline);
		const priority = readPriority(exchange.headers, workspace.priority);
		const request = readChatRequest(await this.readBody(exchange));
		const service = configuration.sheet.serviceByModel(request.model);
		if (!service) {
			throw new Failure(ResultCode.ModelUnknown, `no service serves the model ${request.model}`);
		}

		gate.checkGrant(admittance, service);
		const id = randomUUID();
		exchange.set(requestIdHeader, id);
		const span = tracing.start('entry', {workspace: workspace.name, model: request.model, request: id}, tracing.extract(exchange.headers));
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		try {
			const chat = new ChatExchange(id, request, exchange, {timers, invariants, log});
			await chat.run(sink => tracing.within(span, () => drafts.start({
				id,
				workspace,
				service,
				prompt: request.prompt,
				promptTokens: request.promptTokens,
				maximumTokens: request.maximumTokens,
				priority,
				deadline,
				context: tracing.contextOf(span),
			}, sink)));
		} finally {
			span.end();
		}
	}

	private async callPlain(exchange: Context): Promise<void> {
		const {gate, plain, timers, tracing, metrics} = this.parts;
		const admittance = gate.admit(exchange.headers);
		const {workspace, configuration} = admittance;
		const {service: serviceName, operation: operationName} = operationPathSchema.parse(exchange.params);
		const service = configuration.sheet.service(serviceName);
		const operation = configuration.sheet.operation(serviceName, operationName);
		if (!service || !operation) {
			throw new Failure(ResultCode.OperationUnknown, `the sheet has no operation ${operationName} of ${serviceName}`);
		}

		gate.checkGrant(admittance, service);
		const key = readIdempotencyKey(exchange.headers, !operation.isIdempotent);
		const deadline = timers.now() + readDeadline(exchange.headers, this.limits.deadline);
		const body = await this.readBody(exchange);
		parseJson(body);
		const id = randomUUID();
		exchange.set(requestIdHeader, id);
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		const answer = await tracing.inSpan('entry', {workspace: workspace.name, operation: operationName, request: id}, async () => plain.dispatch({
			id, workspace, operation, body, key, deadline,
		}), tracing.extract(exchange.headers));
		exchange.status = answer.status;
		exchange.type = answer.contentType;
		exchange.set(executionHeader, Execution.Run);
		exchange.body = answer.body;
	}

	/** What is known of a one-time action of the caller's workspace. */
	private async lookUp(exchange: Context): Promise<void> {
		const {workspace} = this.parts.gate.admit(exchange.headers);
		const {key} = actionPathSchema.parse(exchange.params);
		const record = await this.readAction(workspace.name, key);
		if (!record) {
			throw new Failure(ResultCode.ActionUnknown, `no action with the key ${key} is known`);
		}

		exchange.body = {key, state: record.state, answer: record.answer};
	}

	private async readAction(workspace: string, key: string) {
		try {
			return await this.parts.ledger.lookUp(workspace, key);
		} catch (error) {
			throw new Failure(ResultCode.PlatformUnavailable, `the action cannot be looked up: ${messageOf(error)}`, Execution.Unknown);
		}
	}

	private async readBody(exchange: Context): Promise<string> {
		try {
			return await getRawBody(exchange.req, {limit: this.limits.body, length: exchange.req.headers['content-length'], encoding: 'utf8'});
		} catch (error) {
			const isTooLarge = typeof error === 'object' && error !== null && 'type' in error && error.type === 'entity.too.large';
			const code = isTooLarge ? ResultCode.BodyTooLarge : ResultCode.BodyMalformed;
			throw new Failure(code, isTooLarge ? `the body is larger than ${this.limits.body} bytes` : 'the body did not arrive whole');
		}
	}
}
