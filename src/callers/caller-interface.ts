import {type Socket} from 'node:net';
import Router from '@koa/router';
import Koa, {type Context} from 'koa';
import {CallerServer} from '../network/caller-server.js';
import {listen} from '../network/listen.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage, toFailure} from '../results/to-failure.js';
import {CallerConnectionLog} from './caller-connection-log.js';
import {CallerHandlers} from './caller-handlers.js';
import {type CallerLimits, type CallerDependencies} from './caller-dependencies.js';
import {executionHeader, createErrorBody, getHttpStatus} from './error-body.js';

/** Failures after which the rest of the request is of no use, so that its connection is closed. */
const closingCodes: ReadonlySet<ResultCode> = new Set([ResultCode.BodyTooLarge, ResultCode.BodyTooSlow, ResultCode.BodyMemoryShort]);

/** The HTTP interface for callers: OpenAI's chat completions and models, plain services, health and metrics. */
export class CallerInterface {
	private readonly server: CallerServer;
	private readonly sockets = new Set<Socket>();
	private readonly handlers: CallerHandlers;

	constructor(limits: CallerLimits, private readonly dependencies: CallerDependencies) {
		this.handlers = new CallerHandlers(limits, dependencies);
		const app = new Koa();
		app.on('error', error => {
			dependencies.log.debug(`A caller connection failed: ${getErrorMessage(error)}.`);
		});
		app.use(async (context, next) => this.handleErrors(context, next));
		app.use(this.createRouter().routes());
		app.use(() => {
			throw new Failure(ResultCode.PathUnknown, 'see the README for the paths and methods offered');
		});
		const handle = app.callback();
		const {metrics, log, intake} = dependencies;
		this.server = new CallerServer({headersTimeout: limits.headersTimeoutMs, requestTimeout: limits.headersTimeoutMs * 2, connectionsCheckingInterval: 1000}, (request, response) => {
			void handle(request, response);
		}, new CallerConnectionLog(metrics, log), intake);
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** Number of requests whose response has not left this process completely. */
	get inFlight(): number {
		return this.server.openReplies;
	}

	/** Listens on an address; rejects if the address is unavailable. */
	async listen(host: string, port: number): Promise<void> {
		return listen(this.server, host, port);
	}

	/** Closes connections that have no request in flight, once the input that has arrived is read; resolves afterwards. */
	async closeIdle(): Promise<void> {
		await this.server.closeIdle();
	}

	/** Handles input that has arrived. Resolves to whether more connections may be waiting. */
	async acceptArrived(): Promise<boolean> {
		return this.server.acceptArrived();
	}

	/** Stops listening and closes idle connections; requests in flight continue. */
	stopListening(): void {
		this.server.close();
	}

	/** Closes all connections. */
	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private createRouter(): Router {
		const router = new Router();
		router.get('/health', context => {
			context.body = {status: 'alive'};
		});
		router.get('/ready', context => {
			const failure = this.dependencies.lifecycle.isDraining ? new Failure(ResultCode.Draining, 'the instance is stopping') : this.dependencies.authenticator.getReadinessFailure();
			if (failure) {
				throw failure;
			}

			context.body = {status: 'ready', version: this.dependencies.authenticator.version};
		});
		router.get('/metrics', context => {
			context.type = 'text/plain';
			context.body = this.dependencies.metrics.render();
		});
		router.get('/v1/models', context => {
			this.handlers.listModels(context);
		});
		router.post('/v1/chat/completions', async context => this.handlers.complete(context));
		router.post('/v1/services/:service/:operation', async context => this.handlers.callPlain(context));
		router.get('/v1/actions/:key', async context => this.handlers.lookUpAction(context));
		return router;
	}

	/** Turns failures into error responses. */
	private async handleErrors(context: Context, next: () => Promise<void>): Promise<void> {
		if (this.dependencies.lifecycle.isDraining) {
			context.set('connection', 'close');
		}

		try {
			await next();
		} catch (error) {
			this.sendError(context, toFailure(error));
			if (context.response.get('connection') === 'close' || !context.res.shouldKeepAlive) {
				this.endAfterRequest(context);
			} else {
				this.dependencies.intake.rests.limitRest(context.req);
			}
		}
	}

	/** Sends an error response at once, and ends it, which closes the connection, when the rest of the request was read. */
	private endAfterRequest(context: Context): void {
		const {req, res} = context;
		const body = JSON.stringify(context.body);
		context.respond = false;
		context.length = new TextEncoder().encode(body).length;
		res.write(body);
		this.dependencies.intake.rests.afterRest(req, () => {
			res.end();
		});
	}

	private sendError(context: Context, failure: Failure): void {
		this.dependencies.metrics.count('siskinnotch_refusals_total', 1, {code: ResultCode[failure.code]});
		if (failure.code === ResultCode.InternalError) {
			this.dependencies.log.error(`A request failed: ${failure.stack ?? failure.message}.`);
		}

		context.status = getHttpStatus(failure);
		context.body = createErrorBody(failure);
		context.set(executionHeader, failure.execution);
		if (failure.retryAfterSeconds !== undefined) {
			context.set('retry-after', String(failure.retryAfterSeconds));
		}

		if (closingCodes.has(failure.code)) {
			context.set('connection', 'close');
		}
	}
}
