import {randomUUID} from 'node:crypto';
import {type Context} from 'koa';
import getRawBody from 'raw-body';
import * as z from 'zod';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {readDeadline, readIdempotencyKey, readPriority} from './caller-headers.js';
import {type CallerLimits, type CallerDependencies} from './caller-dependencies.js';
import {ChatExchange} from './chat-exchange.js';
import {parseJson, readChatRequest} from './chat-request.js';
import {executionHeader} from './error-body.js';

const operationPathSchema = z.object({service: z.string(), operation: z.string()});
const actionPathSchema = z.object({key: z.string()});
const requestIdHeader = 'x-request-id';

/** Answers the requests of callers that concern models, services and actions. */
export class CallerHandlers {
	constructor(private readonly limits: CallerLimits, private readonly parts: CallerDependencies) {}

	/** The models of the services that the caller's workspace may use. */
	listModels(exchange: Context): void {
		const {configuration, workspace} = this.parts.authenticator.authenticate(exchange.headers);
		const services = configuration.sheet.getServices().filter(({name, model}) => model !== '' && configuration.sheet.isGranted(workspace.name, name));
		exchange.body = {
			object: 'list',
			data: services.map(({model, name}) => ({
				id: model, object: 'model', created: 0, owned_by: name, // eslint-disable-line @typescript-eslint/naming-convention
			})),
		};
	}

	/** A chat completion, streamed or whole. */
	async complete(exchange: Context): Promise<void> {
		const {authenticator: gate, completions: drafts, timers, tracing, metrics, invariants, log} = this.parts;
		const admittance = gate.authenticate(exchange.headers);
		const {workspace, configuration} = admittance;
		const deadline = timers.now() + readDeadline(exchange.headers, this.limits.maxDeadlineMs);
		const priority = readPriority(exchange.headers, workspace.priority);
		const request = readChatRequest(await this.readBody(exchange));
		const service = configuration.sheet.findServiceByModel(request.model);
		if (!service) {
			throw new Failure(ResultCode.ModelUnknown, `no service serves the model ${request.model}`);
		}

		gate.checkGrant(admittance, service);
		const id = randomUUID();
		exchange.set(requestIdHeader, id);
		const span = tracing.startSpan('entry', {workspace: workspace.name, model: request.model, request: id}, tracing.extract(exchange.headers));
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		try {
			const chat = new ChatExchange(id, request, exchange, {timers, invariants, log});
			await chat.run(sink => tracing.runWithSpan(span, () => drafts.start({
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

	/** One operation of a plain service. */
	async callPlain(exchange: Context): Promise<void> {
		const {authenticator: gate, plainDispatcher: plain, timers, tracing, metrics} = this.parts;
		const admittance = gate.authenticate(exchange.headers);
		const {workspace, configuration} = admittance;
		const {service: serviceName, operation: operationName} = operationPathSchema.parse(exchange.params);
		const service = configuration.sheet.findService(serviceName);
		const operation = configuration.sheet.findOperation(serviceName, operationName);
		if (!service || !operation) {
			throw new Failure(ResultCode.OperationUnknown, `the sheet has no operation ${operationName} of ${serviceName}`);
		}

		gate.checkGrant(admittance, service);
		const key = readIdempotencyKey(exchange.headers, !operation.isIdempotent);
		const deadline = timers.now() + readDeadline(exchange.headers, this.limits.maxDeadlineMs);
		const body = await this.readBody(exchange);
		parseJson(body);
		const id = randomUUID();
		exchange.set(requestIdHeader, id);
		metrics.count('siskinnotch_requests_total', 1, {service: service.name});
		const answer = await tracing.runInSpan('entry', {workspace: workspace.name, operation: operationName, request: id}, async () => plain.dispatch({
			id, workspace, operation, body, key, deadline,
		}), tracing.extract(exchange.headers));
		exchange.status = answer.status;
		exchange.type = answer.contentType;
		exchange.set(executionHeader, Execution.Run);
		exchange.body = answer.body;
	}

	/** What is known of a one-time action of the caller's workspace. */
	async lookUp(exchange: Context): Promise<void> {
		const {workspace} = this.parts.authenticator.authenticate(exchange.headers);
		const {key} = actionPathSchema.parse(exchange.params);
		const record = await this.readAction(workspace.name, key);
		if (!record) {
			throw new Failure(ResultCode.ActionUnknown, `no action with the key ${key} is known`);
		}

		exchange.body = {key, state: record.state, answer: record.answer};
	}

	private async readAction(workspace: string, key: string) {
		try {
			return await this.parts.ledger.findRecord(workspace, key);
		} catch (error) {
			throw new Failure(ResultCode.PlatformUnavailable, `the action cannot be looked up: ${getErrorMessage(error)}`, Execution.Unknown);
		}
	}

	private async readBody(exchange: Context): Promise<string> {
		try {
			return await getRawBody(exchange.req, {limit: this.limits.maxBodyBytes, length: exchange.req.headers['content-length'], encoding: 'utf8'});
		} catch (error) {
			const isTooLarge = typeof error === 'object' && error !== null && 'type' in error && error.type === 'entity.too.large';
			const code = isTooLarge ? ResultCode.BodyTooLarge : ResultCode.BodyMalformed;
			throw new Failure(code, isTooLarge ? `the body is larger than ${this.limits.maxBodyBytes} bytes` : 'the body did not arrive whole');
		}
	}
}
