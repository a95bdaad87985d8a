import {createServer, type Server} from 'node:http';
import {type Socket} from 'node:net';
import Router from '@koa/router';
import Koa, {type Context} from 'koa';
import {listen} from '../network/listen.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage, toFailure} from '../results/to-failure.js';
import {CallerHandlers} from './caller-handlers.js';
import {type CallerLimits, type CallerDependencies} from './caller-dependencies.js';
import {executionHeader, createErrorBody, getHttpStatus} from './error-body.js';

/** The HTTP interface for callers: OpenAI's chat completions and models, plain services, health and metrics. */
export class CallerInterface {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private readonly handlers: CallerHandlers;
	private open = 0;

	constructor(limits: CallerLimits, private readonly parts: CallerDependencies) {
		this.handlers = new CallerHandlers(limits, parts);
		const app = new Koa();
		app.on('error', error => {
			parts.log.debug(`A connection failed: ${getErrorMessage(error)}.`);
		});
		app.use(async (exchange, next) => this.guard(exchange, next));
		app.use(this.routes().routes());
		app.use(() => {
			throw new Failure(ResultCode.PathUnknown, 'see the README for the paths and methods offered');
		});
		const handle = app.callback();
		this.server = createServer({headersTimeout: limits.headersTimeoutMs, requestTimeout: limits.headersTimeoutMs * 2, connectionsCheckingInterval: 1000}, (request, response) => {
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
		return listen(this.server, host, port);
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
			const obstacle = this.parts.lifecycle.isDraining ? new Failure(ResultCode.Draining, 'the instance is stopping') : this.parts.authenticator.getReadinessFailure();
			if (obstacle) {
				throw obstacle;
			}

			exchange.body = {status: 'ready', version: this.parts.authenticator.version};
		});
		router.get('/metrics', exchange => {
			exchange.type = 'text/plain';
			exchange.body = this.parts.metrics.render();
		});
		router.get('/v1/models', exchange => {
			this.handlers.listModels(exchange);
		});
		router.post('/v1/chat/completions', async exchange => this.handlers.complete(exchange));
		router.post('/v1/services/:service/:operation', async exchange => this.handlers.callPlain(exchange));
		router.get('/v1/actions/:key', async exchange => this.handlers.lookUp(exchange));
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

		exchange.status = getHttpStatus(failure);
		exchange.body = createErrorBody(failure);
		exchange.set(executionHeader, failure.execution);
		if (failure.retryAfterSeconds !== undefined) {
			exchange.set('retry-after', String(failure.retryAfterSeconds));
		}

		if (failure.code === ResultCode.BodyTooLarge) {
			exchange.set('connection', 'close');
		}
	}
}
