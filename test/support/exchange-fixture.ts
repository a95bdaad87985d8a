import {sampleModel} from '../../harness/sample-model.js';
import {RetryBudget} from '../../src/admission/retry-budget.js';
import {type StreamAdmission} from '../../src/admission/stream-admission.js';
import {RequestKind} from '../../src/catalog/request-kind.js';
import {type Route} from '../../src/catalog/route.js';
import {type Backpressure} from '../../src/backpressure/backpressure.js';
import {AnswerRecorder} from '../../src/estimates/answer-recorder.js';
import {type AnswerEstimator} from '../../src/estimates/answer-estimator.js';
import {ConfiguredAnswers} from '../../src/estimates/configured-answers.js';
import {ServiceTimes} from '../../src/estimates/service-times.js';
import {Metrics} from '../../src/observation/metrics.js';
import {getIncarnationId} from '../../src/pipelines/backend-server.js';
import {type Pipeline} from '../../src/pipelines/pipeline.js';
import {type PipelineRequest} from '../../src/pipelines/pipeline-request.js';
import {type PipelineSelector} from '../../src/pipelines/pipeline-selector.js';
import {ServerDirectory} from '../../src/pipelines/server-directory.js';
import {ServerHealthTracker} from '../../src/pipelines/server-health-tracker.js';
import {ServerLoad} from '../../src/pipelines/server-load.js';
import {type Attempt} from '../../src/relay/attempt.js';
import {type BackendClient} from '../../src/relay/backend-client.js';
import {CallerReply} from '../../src/relay/caller-reply.js';
import {type ExchangeDependencies} from '../../src/relay/exchange-dependencies.js';
import {type RelayRequest} from '../../src/relay/relay-request.js';
import {RequestQueue} from '../../src/relay/request-queue.js';
import {type ResponseListener} from '../../src/relay/response-listener.js';
import {StreamExchange} from '../../src/relay/streams/stream-exchange.js';
import {type Failure} from '../../src/results/failure.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';
import {sampleBackpressure} from './sample-backpressure.js';
import {RecordingLog} from './sample-fleet.js';

/** The route of a resumable stream. */
export const sampleStreamRoute: Route = {
	name: 'drafts',
	host: 'site',
	pathPrefix: '/drafts/',
	kind: RequestKind.Streaming,
	timeout: 20_000,
	priority: 1,
	targets: [{service: 'model', weight: 1}],
	maxExecutions: 2,
	isAnonymous: false,
	isResumable: true,
	latencyTarget: 500,
	callerIdleTimeout: 2000,
};

/** A reply that records what is sent to its caller. */
export class RecordingReply extends CallerReply {
	isGone = false;
	isStarted = false;
	isEnded = false;
	isAborted = false;
	failure?: Failure;
	text = '';
	private goneListener?: () => void;

	/** Lets the caller close its connection. */
	leave(): void {
		this.goneListener?.();
	}

	begin(): void {
		this.isStarted = true;
	}

	write(bytes: Uint8Array): boolean {
		this.text += new TextDecoder().decode(bytes);
		return true;
	}

	end(): void {
		this.isEnded = true;
	}

	abort(): void {
		this.isAborted = true;
	}

	fail(failure: Failure): void {
		this.failure = failure;
	}

	onGone(listener: () => void): void {
		this.goneListener = listener;
	}

	onDrain(): void {
		// This caller never applies backpressure.
	}
}

/** The head of a successful response. */
export const sampleResponseHead = {
	status: 200, headers: [], isSigned: true, isNotExecuted: false, isSelfDelimited: true, hasContentEncoding: false, isLeaving: false,
};

/** The dependencies of one exchange: a caller, and backend servers whose responses the test provides. */
export class ExchangeFixture {
	readonly timers = new ManualTimerService();
	readonly reply = new RecordingReply();
	/** The attempts that were sent, with the listeners of their responses. */
	readonly sent: Array<{readonly attempt: Attempt; readonly listener: ResponseListener}> = [];
	/** Indexes in `sent` of the attempts that the exchange cancelled. */
	readonly cancelled: number[] = [];
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly directory: ServerDirectory;
	readonly load = new ServerLoad();
	readonly dependencies: ExchangeDependencies;
	/** Expects the configured mean answer, unless a fixture is given another estimator. */
	readonly answers: AnswerRecorder;
	readonly log = new RecordingLog(this.timers);
	readonly retryBudget = new RetryBudget(0.2, 100, 10_000);
	/** Prompt parts and fingerprints of requests that were shown to be sound. */
	readonly clearedParts: string[] = [];
	/** Ids of the servers that lost an attempt early. */
	readonly lossesOf: string[] = [];
	/** Fingerprints of requests that are suspects of crashes. */
	readonly suspectedRequests = new Set<string>();

	constructor(estimator: AnswerEstimator = new ConfiguredAnswers()) {
		const {timers, load, log} = this;
		this.serverHealth = new ServerHealthTracker({
			suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 250, trialPause: 700,
		}, log);
		this.backpressure = sampleBackpressure();
		this.directory = new ServerDirectory(timers, log);
		this.dependencies = {
			client: { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				send: (attempt: Attempt, listener: ResponseListener) => {
					const index = this.sent.push({attempt, listener}) - 1;
					return {
						cancel: () => {
							this.cancelled.push(index);
						},
						pause() {}, // eslint-disable-line @typescript-eslint/no-empty-function
						resume() {}, // eslint-disable-line @typescript-eslint/no-empty-function
					};
				},
			} as unknown as BackendClient,
			directory: this.directory,
			serverHealth: this.serverHealth,
			backpressure: this.backpressure,
			load,
			crashGuard: {
				recordProgress: parts => {
					this.clearedParts.push(...parts);
				},
				recordLoss: ({id}) => {
					this.lossesOf.push(id);
				},
				isSuspectedRequest: fingerprint => this.suspectedRequests.has(fingerprint),
			},
			retryBudgets: {forService: () => this.retryBudget, replenish: () => undefined, mayBorrow: () => false},
			timers,
			metrics: new Metrics(),
			log,
		};
		this.answers = new AnswerRecorder(estimator, new ServiceTimes({halfLife: 100, maxServices: 4}), this.dependencies.metrics, log);
	}

	/** Number of attempts that the exchange cancelled. */
	get cancelCount(): number {
		return this.cancelled.length;
	}

	/** The listener of the latest attempt. */
	get latest(): ResponseListener {
		return this.sent.at(-1)!.listener;
	}

	/** Creates a request on a route that arrives now. */
	createRequest(route: Route): RelayRequest {
		return {
			id: 'attempt-1',
			method: 'POST',
			target: route.pathPrefix,
			headers: [],
			body: new Uint8Array(),
			route,
			service: {name: route.targets[0].service, healthPath: '/healthz', maxConnections: 100},
			priority: 1,
			arrivedAt: this.timers.now(),
			deadline: this.timers.now() + route.timeout,
			promptParts: ['shared', 'topic'],
			fingerprint: 'request:sample',
			promptTokens: 100,
			maxAnswerTokens: 50,
		};
	}
}

/** One stream exchange over pipelines that the test provides. */
export class StreamExchangeFixture extends ExchangeFixture {
	/** The requests that the pipeline selector received. */
	readonly pipelineRequests: PipelineRequest[] = [];
	readonly exchange: StreamExchange;
	readonly requestQueue = new RequestQueue(this.timers, {capacity: 10, dispatchInterval: 40});
	/** The pipeline that the selector returns unless its first stage is excluded. */
	pipeline?: Pipeline;
	/** The pipelines that the selector returns if it may not return the first one, in this order, where the route's limit of servers allows it. */
	alternatives: readonly Pipeline[] = [];
	readonly admission?: StreamAdmission;

	/**
	@param options - fields of the request, the estimator, and the admission; a stream without one is admitted without regard to others
	*/
	constructor(route = sampleStreamRoute, {estimator, admission, ...fields}: Partial<RelayRequest> & {readonly estimator?: AnswerEstimator; readonly admission?: StreamAdmission} = {}) {
		super(estimator);
		this.admission = admission;
		this.exchange = new StreamExchange(this.dependencies, {...this.createRequest(route), ...fields}, this.reply, {
			answers: this.answers,
			model: sampleModel,
			selector: { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				select: (request: PipelineRequest) => {
					this.pipelineRequests.push(request);
					return this.select(request);
				},
				selectBusy: () => undefined,
			} as unknown as PipelineSelector,
			requestQueue: this.requestQueue,
			admission,
			limits: {
				maxRejections: 6, lateRejectionThreshold: 1000, onTimeFraction: 0.75, maxQueueTime: 1100, resumeWaitFraction: 0.9, retryAfter: 1000,
			},
			onRejection() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onSuspicion() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
	}

	/** Starts the exchange. */
	start(): void {
		this.exchange.start(() => undefined);
	}

	private select({excluded, firstStageCandidates}: PipelineRequest): Pipeline | undefined {
		const isExcluded = ([{server}]: Pipeline) => excluded.has(getIncarnationId(server));
		return this.pipeline && !isExcluded(this.pipeline)
			? this.pipeline
			: this.alternatives.find(alternative => !isExcluded(alternative) && firstStageCandidates?.has(getIncarnationId(alternative[0].server)) !== false);
	}
}
