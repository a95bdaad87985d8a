import test from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {InterzoneBandwidthBudget} from '../src/pipelines/interzone-bandwidth-budget.js';
import {getIncarnationId, type BackendServer} from '../src/pipelines/backend-server.js';
import {computeTokenCapacity} from '../src/pipelines/engine-model.js';
import {type Pipeline} from '../src/pipelines/pipeline.js';
import {PipelineSelector} from '../src/pipelines/pipeline-selector.js';
import {ServerSlowdowns} from '../src/pipelines/server-slowdowns.js';
import {type Attempt} from '../src/relay/attempt.js';
import {type BackendClient} from '../src/relay/backend-client.js';
import {RequestQueue} from '../src/relay/request-queue.js';
import {type ResponseListener} from '../src/relay/response-listener.js';
import {StreamExchange} from '../src/relay/streams/stream-exchange.js';
import {RandomSource} from '../src/routing/random-source.js';
import {
	ExchangeFixture, RecordingReply, sampleResponseHead, sampleStreamRoute,
} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const durationMs = 30_000;
const stepMs = 5;
const serviceTimeMs = 2000;
const roundTripMs = 5;
/** Interval at which an instance learns what the others' requests hold. */
const learningIntervalMs = 700;
const smallTokens = 700;
const largeTokens = 3000;
const answerTokens = 50;

type Tally = {
	asked: number;
	served: number;
};

const layersOfStage = 40;
/** A model whose servers hold some 21,000 tokens beside the layers of a stage. */
const large = {
	name: 'large', megabytes: 84_000, pace: 2.4, readFactor: 3.2,
};
const model = {...sampleModel, acceleratorTypes: new Map([['large', large]])};
const capacity = computeTokenCapacity(model, large, layersOfStage);

/** The backend servers of several instances: two stages a pipeline, which reject what they have no memory for. */
class SharedServers {
	readonly servers: readonly BackendServer[];
	private readonly heldTokens = new Map<string, number>();

	constructor(pipelines: number) {
		this.servers = Array.from({length: pipelines}, (_, index) => index).flatMap(index => [
			sampleServer(`first-${index}`, 'large', {from: 0, to: layersOfStage}), sampleServer(`second-${index}`, 'large', {from: layersOfStage, to: 2 * layersOfStage}),
		]);
	}

	getTokens({id}: BackendServer): number {
		return this.heldTokens.get(id) ?? 0;
	}

	/** Takes memory of the stages; returns whether all of them had enough. */
	take(pipeline: Pipeline, tokens: number): boolean {
		if (pipeline.some(({server}) => this.getTokens(server) + tokens > capacity)) {
			return false;
		}

		this.add(pipeline, tokens);
		return true;
	}

	add(pipeline: Pipeline, tokens: number): void {
		for (const {server} of pipeline) {
			this.heldTokens.set(server.id, this.getTokens(server) + tokens);
		}
	}
}

/** An instance with callers of small and large requests. It learns at intervals what the requests of the others hold. */
class BusyInstance {
	readonly small: Tally = {asked: 0, served: 0};
	readonly large: Tally = {asked: 0, served: 0};
	readonly fixture = new ExchangeFixture();
	private peerTokens = new Map<string, number>();
	private readonly selector: PipelineSelector;
	private readonly requestQueue: RequestQueue;

	constructor(private readonly shared: SharedServers) {
		const {timers, directory, serverHealth, backpressure, load} = this.fixture;
		directory.applyReading({servers: shared.servers, requestedAt: 0, mayBeIncomplete: false});
		this.selector = new PipelineSelector({
			directory,
			serverHealth,
			backpressure,
			load,
			slowdowns: new ServerSlowdowns(3000),
			availabilityZone: 'zone-a',
			interzoneBandwidth: new InterzoneBandwidthBudget(0.5, 1000, () => 1),
			getPeerTokens: ({id}) => this.peerTokens.get(id) ?? 0,
		}, {
			remoteZone: 0.4, crossing: 5, maxOccupancy: 1, occupancyWeight: 3, maxLoadAge: 1500,
		});
		this.requestQueue = new RequestQueue(timers, {capacity: 400, dispatchInterval: 40});
	}

	/** Learns what the requests of the other instances hold. */
	learn(): void {
		const own = new Map(this.fixture.load.getTokensByIncarnation());
		this.peerTokens = new Map(this.shared.servers.map(server => [server.id, Math.max(0, this.shared.getTokens(server) - (own.get(getIncarnationId(server)) ?? 0))]));
	}

	ask(isLarge: boolean): void {
		const tally = isLarge ? this.large : this.small;
		tally.asked++;
		const reply = new RecordingReply();
		const tokens = isLarge ? largeTokens : smallTokens;
		const request = {...this.fixture.createRequest(sampleStreamRoute), promptTokens: tokens - answerTokens, maxAnswerTokens: answerTokens};
		const exchange = new StreamExchange({...this.fixture.dependencies, client: this.createClient(tokens)}, request, reply, {
			model,
			selector: this.selector,
			requestQueue: this.requestQueue,
			answers: this.fixture.answers,
			limits: {
				maxRejections: 6, lateRejectionThreshold: 1000, onTimeFraction: 0.75, maxQueueTime: 1100, resumeWaitFraction: 0.9, retryAfter: 1000,
			},
			onRejection: () => undefined,
			onSuspicion: () => undefined,
		});
		exchange.start(() => {
			tally.served += reply.isEnded ? 1 : 0;
		});
	}

	/** Creates a client whose attempts succeed after the service time, or are rejected at once for lack of memory. */
	private createClient(tokens: number): BackendClient {
		const {shared, fixture: {timers}} = this;
		return { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			send({pipeline}: Attempt, listener: ResponseListener) {
				const isAccepted = shared.take(pipeline!, tokens);
				const timer = timers.after(isAccepted ? serviceTimeMs : roundTripMs, () => {
					if (!isAccepted) {
						listener.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
						listener.onEnd();
						return;
					}

					shared.add(pipeline!, -tokens);
					listener.onHead(sampleResponseHead);
					listener.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
					listener.onEnd();
				});
				return {
					usesOwnPath: true,
					cancel() {
						timer.cancel();
					},
					pause: () => undefined,
					resume: () => undefined,
				};
			},
		} as unknown as BackendClient;
	}
}

/** Lets a number of requests a second arrive, of which a tenth is large, at random instances. */
function run(instances: readonly BusyInstance[], perSecond: number, random: RandomSource): void {
	for (let time = 0; time < durationMs; time += stepMs) {
		for (let arrivals = perSecond * stepMs / 1000; random.nextFraction() < arrivals; arrivals--) {
			instances[random.nextInteger(instances.length)].ask(random.nextInteger(10) === 0);
		}

		for (const [index, instance] of instances.entries()) {
			if (time % learningIntervalMs === (index * stepMs) % learningIntervalMs) {
				instance.learn();
			}

			instance.fixture.timers.advance(stepMs);
		}
	}
}

// Guards against large requests that are hardly ever served, because each smaller one of any instance takes what becomes free.
for (const {size, pipelines, perSecond} of [{size: 24, pipelines: 4, perSecond: 45}, {size: 24, pipelines: 4, perSecond: 55}, {size: 24, pipelines: 4, perSecond: 70}]) {
	test(`${size} instances with ${perSecond} requests a second: large requests are served at least half as often as all`, t => {
		const shared = new SharedServers(pipelines);
		const instances = Array.from({length: size}, () => new BusyInstance(shared));
		run(instances, perSecond, new RandomSource(1));
		const sum = (count: (instance: BusyInstance) => number) => instances.reduce((total, instance) => total + count(instance), 0);
		const ofLarge = {asked: sum(instance => instance.large.asked), served: sum(instance => instance.large.served)};
		const ofAll = {asked: ofLarge.asked + sum(instance => instance.small.asked), served: ofLarge.served + sum(instance => instance.small.served)};
		t.log(`${ofLarge.served} of ${ofLarge.asked} large ones, ${ofAll.served} of ${ofAll.asked} of all`);
		t.true(ofLarge.served / ofLarge.asked >= ofAll.served / ofAll.asked / 2);
	});
}
