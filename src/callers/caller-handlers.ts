import {randomUUID} from 'node:crypto';
import {type Context} from 'koa';
import * as z from 'zod';
import {type Operation, type Service, type Workspace} from '../configuration/sheet-row.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage, toFailure} from '../results/to-failure.js';
import {readDeadline, readIdempotencyKey, readPriority} from './caller-headers.js';
import {type CallerLimits, type CallerDependencies} from './caller-dependencies.js';
import {ChatExchange} from './chat-exchange.js';
import {parseJson, parseChatRequest} from './chat-request.js';
import {executionHeader} from './error-body.js';

const operationPathSchema = z.object({service: z.string(), operation: z.string()});
const actionPathSchema = z.object({key: z.string()});
const requestIdHeader = 'x-request-id';
/** Memory of a character of a decoded body at most. */
const bytesPerCharacter = 2;
/** Short, because another instance can accept the request at once. */
const drainingRetrySeconds = 0.2;

/** A call of a plain service that is allowed. */
type AuthorizedPlainCall = {
	readonly workspace: Workspace;
	readonly service: Service;
	readonly operation: Operation;
	/** The value of the Idempotency-Key header; empty if the caller sent none. */
	readonly key: string;
};

function createLateFailure(): Failure {
	return new Failure(ResultCode.DeadlineUnreachable, 'the deadline passed before the request was received', Execution.NotRun);
}

/** Handles the caller requests for models, chat completions, plain services and one-time actions. */
export class CallerHandlers {
	constructor(private readonly limits: CallerLimits, private readonly dependencies: CallerDependencies) {}

	/** Lists the models that the caller's workspace may use. */
	listModels(context: Context): void {
		const {configuration, workspace} = this.dependencies.authenticator.authenticate(context.headers);
		const services = configuration.sheet.getServices().filter(({name, model}) => model !== '' && configuration.sheet.isGranted(workspace.name, name));
		context.body = {
			object: 'list',
			data: services.map(({model, name}) => ({
				id: model, object: 'model', created: 0, owned_by: name, // eslint-disable-line @typescript-eslint/naming-convention
			})),
		};
	}

	/** Runs a chat completion and sends it, streamed or as a single body. */
	async complete(context: Context): Promise<void> {
		const {authenticator, completions, timers, tracing, metrics, invariants, log} = this.dependencies;
		authenticator.authenticate(context.headers);
		const deadline = timers.now() + readDeadline(context.headers, this.limits.maxDeadlineMs);
		const body = await this.readBody(context, deadline);
		// The configuration may have changed while the body was received.
		const caller = authenticator.authenticate(context.headers);
		const {workspace, configuration} = caller;
		const priority = readPriority(context.headers, workspace.priority);
		const request = parseChatRequest(body);
		const service = configuration.sheet.findServiceByModel(request.model);
		if (!service) {
			throw authenticator.createRefusal(configuration, ResultCode.ModelUnknown, `no service provides the model ${request.model}`);
		}

		authenticator.checkGrant(caller, service);
		const id = randomUUID();
		context.set(requestIdHeader, id);
		const span = tracing.startSpan('entry', {workspace: workspace.name, model: request.model, request: id}, tracing.extract(context.headers));
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		try {
			const chatExchange = new ChatExchange(id, request, context, {timers, invariants, log});
			await chatExchange.run(sink => tracing.runWithSpan(span, () => completions.start({
				id,
				workspace,
				service,
				prompt: request.prompt,
				promptTokens: request.promptTokens,
				maximumTokens: request.maximumTokens,
				priority,
				deadline,
				context: tracing.getContext(span),
			}, sink)));
		} finally {
			span.end();
		}
	}

	/** Calls an operation of a plain service. */
	async callPlain(context: Context): Promise<void> {
		const {plainDispatcher, timers, tracing, metrics} = this.dependencies;
		this.authorizePlainCall(context);
		const deadline = timers.now() + readDeadline(context.headers, this.limits.maxDeadlineMs);
		const body = await this.readBody(context, deadline);
		// The configuration may have changed while the body was received.
		const {workspace, service, operation, key} = this.authorizePlainCall(context);
		parseJson(body);
		const id = randomUUID();
		context.set(requestIdHeader, id);
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		const response = await tracing.runInSpan('entry', {workspace: workspace.name, operation: operation.name, request: id}, async () => plainDispatcher.dispatch({
			id, workspace, operation, body, key, deadline,
		}), tracing.extract(context.headers));
		context.status = response.status;
		context.type = response.contentType;
		context.set(executionHeader, Execution.Run);
		context.body = response.body;
	}

	/** Reports the state of a one-time action of the caller's workspace, and its answer once there is one. */
	async lookUpAction(context: Context): Promise<void> {
		const {authenticator} = this.dependencies;
		const {configuration, workspace} = authenticator.authenticate(context.headers);
		const {key} = actionPathSchema.parse(context.params);
		const record = await this.readAction(workspace.name, key);
		if (!record) {
			// A newer configuration may give the caller's key to another workspace.
			throw authenticator.createRefusal(configuration, ResultCode.ActionUnknown, `no action with the key ${key} is known`);
		}

		context.body = {key, state: record.state, answer: record.answer};
	}

	/** Finds the operation that a call is for, and checks that its caller may use it. */
	private authorizePlainCall({headers, params}: Context): AuthorizedPlainCall {
		const {authenticator} = this.dependencies;
		const caller = authenticator.authenticate(headers);
		const {workspace, configuration} = caller;
		const {service: serviceName, operation: operationName} = operationPathSchema.parse(params);
		const service = configuration.sheet.findService(serviceName);
		const operation = configuration.sheet.findOperation(serviceName, operationName);
		if (!service || !operation) {
			throw authenticator.createRefusal(configuration, ResultCode.OperationUnknown, `the sheet has no operation ${operationName} of ${serviceName}`);
		}

		authenticator.checkGrant(caller, service);
		return {
			workspace, service, operation, key: readIdempotencyKey(headers, !operation.isIdempotent),
		};
	}

	private async readAction(workspace: string, key: string) {
		try {
			return await this.dependencies.actionExecutor.findRecord(workspace, key);
		} catch (error) {
			throw new Failure(ResultCode.PlatformUnavailable, `the action cannot be looked up: ${getErrorMessage(error)}`, Execution.Unknown);
		}
	}

	/** Reads the body until the deadline, a monotonic time in milliseconds. */
	private async readBody(context: Context, deadline: number): Promise<string> {
		const {timers} = this.dependencies;
		const body = await this.receiveBody(context, deadline);
		// The caller may have left before the request was read.
		await timers.handleInput();
		if (context.req.socket.destroyed || context.req.socket.readableEnded) {
			throw new Failure(ResultCode.CallerGone, 'the caller closed the connection before its request was started', Execution.NotRun);
		}

		if (timers.now() >= deadline) {
			throw createLateFailure();
		}

		// The notice period of a shutdown may have ended while the body was received.
		if (this.dependencies.lifecycle.isRefusing) {
			throw new Failure(ResultCode.Draining, 'the instance is shutting down', Execution.NotRun, drainingRetrySeconds);
		}

		return body;
	}

	private async receiveBody(context: Context, deadline: number): Promise<string> {
		const {timers, intake} = this.dependencies;
		const reception = intake.receive(context.req, () => this.limits.maxBodyBytes);
		try {
			const bytes = await timers.withTimeout(reception.read(), deadline - timers.now(), createLateFailure);
			reception.hold(bytes.length * bytesPerCharacter);
			return new TextDecoder().decode(bytes);
		} catch (error) {
			reception.end();
			const failure = toFailure(error);
			throw failure.code === ResultCode.CallerGone ? new Failure(ResultCode.BodyMalformed, 'the body was not received completely') : failure;
		}
	}
}
