import test from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {InterzoneBandwidthBudget} from '../src/pipelines/interzone-bandwidth-budget.js';
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

const durationMs = 60_000;
const stepMs = 5;
const serviceTimeMs = 500;
const smallTokens = 300;
const largeTokens = 2400;
const answerTokens = 50;

type Tally = {
	asked: number;
	served: number;
};

/** An instance with two pipelines that hold some 3,000 tokens each, and callers that ask for more than these can hold. */
class BusyInstance {
	readonly small: Tally = {asked: 0, served: 0};
	readonly large: Tally = {asked: 0, served: 0};
	private readonly fixture = new ExchangeFixture();
	private readonly selector: PipelineSelector;
	private readonly requestQueue: RequestQueue;

	constructor() {
		const {timers, directory, serverHealth, backpressure, load} = this.fixture;
		directory.applyReading({
			servers: ['a', 'b'].flatMap(name => [
				sampleServer(`${name}-first`, 'large', {from: 0, to: 40}), sampleServer(`${name}-second`, 'large', {from: 40, to: 80}),
			]),
			requestedAt: 0,
			mayBeIncomplete: false,
		});
		this.selector = new PipelineSelector({
			directory,
			serverHealth,
			backpressure,
			load,
			slowdowns: new ServerSlowdowns(3000),
			availabilityZone: 'zone-a',
			interzoneBandwidth: new InterzoneBandwidthBudget(0.5, 1000, () => 1),
			getPeerTokens: () => 0,
		}, {
			remoteZone: 0.4, crossing: 5, maxOccupancy: 1, occupancyWeight: 3, maxLoadAge: 1500,
		});
		this.requestQueue = new RequestQueue(timers, {capacity: 400, dispatchInterval: 40});
	}

	/** Lets a number of requests a second arrive, of which a tenth is large. */
	run(perSecond: number, random: RandomSource): void {
		for (let time = 0; time < durationMs; time += stepMs) {
			if (random.nextFraction() < perSecond * stepMs / 1000) {
				this.ask(random.nextInteger(10) === 0);
			}

			this.fixture.timers.advance(stepMs);
		}

		this.fixture.timers.advance(5000);
	}

	private ask(isLarge: boolean): void {
		const tally = isLarge ? this.large : this.small;
		tally.asked++;
		const reply = new RecordingReply();
		const request = {...this.fixture.createRequest(sampleStreamRoute), promptTokens: isLarge ? largeTokens : smallTokens, maxAnswerTokens: answerTokens};
		const exchange = new StreamExchange({...this.fixture.dependencies, client: this.createClient()}, request, reply, {
			model: sampleModel,
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

	/** Creates a client whose attempts succeed after the service time. */
	private createClient(): BackendClient {
		const {timers} = this.fixture;
		return { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			send(_attempt: Attempt, listener: ResponseListener) {
				const timer = timers.after(serviceTimeMs, () => {
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

// Guards against large requests that wait until they are refused, because each smaller one that arrives later takes what becomes free.
for (const perSecond of [24, 32, 48]) {
	test(`with ${perSecond} requests a second, large requests are served at least half as often as all`, t => {
		const instance = new BusyInstance();
		instance.run(perSecond, new RandomSource(1));
		const {small, large} = instance;
		const ofLarge = large.served / large.asked;
		const ofAll = (large.served + small.served) / (large.asked + small.asked);
		t.log(`${large.served} of ${large.asked} large ones, ${large.served + small.served} of ${large.asked + small.asked} of all`);
		t.true(ofLarge >= ofAll / 2, `${ofLarge.toFixed(2)} of the large ones, ${ofAll.toFixed(2)} of all`);
	});
}
