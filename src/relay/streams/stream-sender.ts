import {isRepeatable} from '../../catalog/route.js';
import {getIncarnationId} from '../../pipelines/backend-server.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type CrashEvidence} from '../crash-evidence.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type ExecutionHistory} from '../execution-history.js';
import {type RelayRequest} from '../relay-request.js';
import {StreamAttempt, type StreamAttemptHandler} from './stream-attempt.js';
import {type StreamLog} from './stream-log.js';
import {type StreamProgress} from './stream-progress.js';
import {StreamResponse} from './stream-response.js';
import {type StreamTokens} from './stream-tokens.js';

/** Milliseconds between two updates of the load of one stream. Loads are reported to other instances as often. */
const loadUpdateInterval = 500;

/** What a sender needs to know of its stream. */
export type StreamSenderDependencies = {
	readonly request: RelayRequest;
	readonly tokens: StreamTokens;
	readonly progress: StreamProgress;
	readonly executions: ExecutionHistory;
	readonly crashEvidence: CrashEvidence;
	readonly log: StreamLog;
};

/** Sends the attempts of one stream, and records where the request was sent. */
export class StreamSender {
	private readonly triedIncarnations = new Set<string>();
	private loadUpdatedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: ExchangeDependencies, private readonly stream: StreamSenderDependencies) {}

	/**
	Sends the request along a pipeline, from the last event that the caller has received.

	@param number - 1 for the first attempt of the stream
	@param handler - handles what is received
	*/
	send(pipeline: Pipeline, number: number, handler: StreamAttemptHandler): StreamAttempt {
		const {client, load, serverHealth, backpressure, timers} = this.dependencies;
		const {request, tokens, progress, executions, crashEvidence} = this.stream;
		const [{server}] = pipeline;
		const now = timers.now();
		executions.recordStart(server);
		const needsNewConnection = this.needsNewConnection(pipeline);
		this.triedIncarnations.add(getIncarnationId(server));
		const attempt = new StreamAttempt({
			number,
			pipeline,
			sentAt: now,
			response: new StreamResponse(progress.passed),
			crashEvidence: crashEvidence.beginAttempt(now),
			holdLoad: () => load.hold(pipeline, tokens.expected),
		}, handler);
		tokens.recordSend(pipeline, load);
		const startedLoad = load.start(pipeline, tokens.expected);
		this.loadUpdatedAt = now;
		serverHealth.recordPipelineDispatch(pipeline, now);
		backpressure.limits.recordRequest(server, now);
		this.logSent(attempt, now);
		const running = client.send({
			request, server, pipeline, remaining: request.deadline - now, lastEventId: progress.lastEventId, needsNewConnection,
		}, attempt);
		attempt.begin(running, startedLoad);
		return attempt;
	}

	/** Updates the load of an attempt that received events, now that more of the answer is known. */
	updateLoad(attempt: StreamAttempt, now: number): void {
		if (now - this.loadUpdatedAt >= loadUpdateInterval) {
			this.loadUpdatedAt = now;
			attempt.updateLoad(this.stream.tokens.expected);
		}
	}

	/** On a kept connection, a repeated response to an earlier attempt could not be told from the one to this attempt: both have the id of the request. */
	private needsNewConnection([{server}]: Pipeline): boolean {
		return !isRepeatable(this.stream.request.route) || this.triedIncarnations.has(getIncarnationId(server));
	}

	private logSent({pipeline, number}: StreamAttempt, now: number): void {
		const {request, tokens, executions, log} = this.stream;
		log.logSent(pipeline, {
			tokens: tokens.expected,
			attempt: number,
			countedServers: executions.countedServers,
			uncountedServers: executions.uncountedServers,
			remaining: request.deadline - now,
			listAge: now - this.dependencies.directory.lastReadAt,
		});
	}
}
