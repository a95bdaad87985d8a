import test from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {FullRejections} from '../src/admission/full-rejections.js';
import {PriorityReserves} from '../src/admission/priority-reserves.js';
import {ReturnTimes} from '../src/admission/return-times.js';
import {ZoneWaiting} from '../src/admission/zone-waiting.js';
import {getIdDigest} from '../src/peers/id-digest.js';
import {WaitingExchange} from '../src/peers/waiting-exchange.js';
import {type PipelineRequest} from '../src/pipelines/pipeline-request.js';
import {type PipelineSelector} from '../src/pipelines/pipeline-selector.js';
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

const instanceCount = 64;
const stepMs = 10;
const roundMs = 500;
const holdingMs = 3000;
const capacityRequests = 300;
const tokens = 900;
/** Time within which a request is sent for its answer to be on time. */
const onTimeMs = 375;
const range = {from: 0, to: 80};
const pipeline = [{server: sampleServer('shared', 'large', range), range}];
/** Requests per second of the urgent and the less urgent priority: usual, a burst of the less urgent one, a burst of the urgent one, and none until all have ended. */
const phases = [{until: 5000, rates: [30, 45]}, {until: 15_000, rates: [30, 45 * 2.5]}, {until: 25_000, rates: [30 * 1.8, 45]}, {until: 31_000, rates: [0, 0]}] as const;

type Tally = {asked: number; served: number; onTime: number};

/** An instance that learns only at intervals what the others hold on the shared servers, as by gossip. */
class ZoneInstance {
	readonly tallies: readonly Tally[] = [{asked: 0, served: 0, onTime: 0}, {asked: 0, served: 0, onTime: 0}];
	readonly fixture = new ExchangeFixture();
	readonly exchange: WaitingExchange;
	rejections = 0;
	private readonly zone = new ZoneWaiting(2000, getIdDigest);
	private readonly queue = new RequestQueue(this.fixture.timers, {capacity: 200, dispatchInterval: 40});
	private readonly admission;
	private peerTokens = 0;

	constructor(readonly id: string, private readonly shared: {held: number}, random: RandomSource, hasAdmission: boolean) {
		this.exchange = new WaitingExchange({id, availabilityZone: 'a'}, this.zone, () => this.queue.describeWaiting());
		this.admission = hasAdmission
			? {
				zone: this.zone, rejections: new FullRejections(), returnTimes: new ReturnTimes(1000, random),
				reserves: new PriorityReserves({countInstances: () => instanceCount, countRequests: () => capacityRequests}, 0.25),
			}
			: undefined;
	}

	learn(): void {
		this.peerTokens = this.shared.held - this.fixture.load.getTokens(pipeline[0].server);
	}

	ask(priority: number): void {
		const tally = this.tallies[priority];
		tally.asked++;
		const reply = new RecordingReply();
		const request = {
			...this.fixture.createRequest(sampleStreamRoute), priority, promptTokens: tokens - 50,
		};
		new StreamExchange({...this.fixture.dependencies, client: this.createClient()}, request, reply, {
			model: sampleModel,
			selector: this.createSelector(),
			requestQueue: this.queue,
			answers: this.fixture.answers,
			admission: this.admission,
			limits: {
				maxRejections: 6, lateRejectionThreshold: 1000, onTimeFraction: 0.75, maxQueueTime: this.admission ? 4000 : 1100, resumeWaitFraction: 0.9, retryAfter: 1000,
			},
			onRejection: () => undefined,
			onSuspicion: () => undefined,
		}).start(() => {
			tally.served += reply.isEnded ? 1 : 0;
		});
	}

	private createSelector(): PipelineSelector {
		const {fixture: {load}} = this;
		return { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			select: ({occupancyLimit = 1}: PipelineRequest) =>
				this.peerTokens + load.getTokens(pipeline[0].server) + tokens <= capacityRequests * tokens * occupancyLimit ? pipeline : undefined,
			selectBusy: () => undefined,
		} as unknown as PipelineSelector;
	}

	/** Creates a client whose attempts hold capacity for a time, or are rejected at once if there is none. */
	private createClient(): BackendClient {
		const {shared, fixture: {timers}} = this;
		return { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			send: ({request}: Attempt, listener: ResponseListener) => {
				const isAccepted = shared.held + tokens <= capacityRequests * tokens;
				shared.held += isAccepted ? tokens : 0;
				this.tallies[request.priority].onTime += isAccepted && timers.now() - request.arrivedAt <= onTimeMs ? 1 : 0;
				this.rejections += isAccepted ? 0 : 1;
				const timer = timers.after(isAccepted ? holdingMs : stepMs, () => {
					shared.held -= isAccepted ? tokens : 0;
					listener.onHead(isAccepted ? sampleResponseHead : {...sampleResponseHead, status: 503, isNotExecuted: true});
					if (isAccepted) {
						listener.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
					}

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

/** Passes messages on between random instances, except for the first one if it is cut off. */
function gossip(instances: readonly ZoneInstance[], random: RandomSource, {lossFraction, isFirstCutOff}: {lossFraction: number; isFirstCutOff: boolean}): void {
	const deliver = (from: ZoneInstance, to: ZoneInstance) => {
		const now = from.fixture.timers.now();
		if (random.nextFraction() >= lossFraction && !(isFirstCutOff && (from === instances[0] || to === instances[0]))) {
			const message = {from: {id: from.id, availabilityZone: 'a', peers: ''}, ...from.exchange.getCurrent('a', now)};
			to.exchange.receive(structuredClone(message), now);
		}
	};

	for (const instance of instances) {
		for (let contacts = 0; contacts < 4; contacts++) {
			const partner = random.pick(instances);
			deliver(instance, partner);
			deliver(partner, instance);
		}
	}
}

function run(options: {readonly lossFraction: number; readonly isFirstCutOff: boolean; readonly hasAdmission: boolean}) {
	const random = new RandomSource(1);
	const shared = {held: 0};
	const instances = Array.from({length: instanceCount}, (_, index) => new ZoneInstance(`instance-${index}`, shared, random, options.hasAdmission));
	for (let time = 0; time < phases.at(-1)!.until; time += stepMs) {
		const {rates} = phases.find(({until}) => time < until)!;
		for (const [priority, rate] of rates.entries()) {
			for (let arrivals = rate * stepMs / 1000; random.nextFraction() < arrivals; arrivals--) {
				random.pick(instances).ask(priority);
			}
		}

		if (time % roundMs === 0) {
			gossip(instances, random, options);
		}

		for (const [index, instance] of instances.entries()) {
			if (time % roundMs === (index * stepMs) % roundMs) {
				instance.learn();
			}

			instance.fixture.timers.advance(stepMs);
		}
	}

	const [urgent, lower] = [0, 1].map(priority => {
		const tallies = instances.map(instance => instance.tallies[priority]);
		return {asked: tallies.reduce((sum, {asked}) => sum + asked, 0), served: tallies.reduce((sum, {served}) => sum + served, 0), onTime: tallies.reduce((sum, {onTime}) => sum + onTime, 0)};
	});
	return {
		urgent,
		lower,
		first: instances[0].tallies,
		yields: instances.reduce((sum, {fixture}) => sum + fixture.dependencies.metrics.getCount('siskinnotch_yields', {priority: '1'}), 0),
		rejections: instances.reduce((sum, instance) => sum + instance.rejections, 0),
	};
}

function getShare({served, asked}: Tally): number {
	return served / asked;
}

// Guards against urgent requests that are served less often than others because those fill the servers first, and against less urgent ones that starve.
// Also guards against an instance that waits for reports that never come.
for (const [name, options] of [
	['', {lossFraction: 0, isFirstCutOff: false}], [', one instance cut off and a third of the gossip lost', {lossFraction: 0.33, isFirstCutOff: true}], [', all gossip lost', {lossFraction: 1, isFirstCutOff: false}],
] as const) {
	test(`64 instances, two priorities, bursts${name}: the urgent one is served at least as often, the other one is not starved`, t => {
		const {urgent, lower, first, rejections, yields} = run({...options, hasAdmission: true});
		const before = run({...options, hasAdmission: false});
		const describe = ({served, asked, onTime}: Tally) => `${served} of ${asked} (${onTime} on time)`;
		t.log(`urgent ${describe(urgent)}, lower ${describe(lower)}, ${rejections} rejections, ${yields} yields`);
		t.log(`without admission: urgent ${describe(before.urgent)}, lower ${describe(before.lower)}, ${before.rejections} rejections`);
		t.true(getShare(urgent) >= getShare(lower));
		t.is(yields > 0, options.lossFraction < 1);
		t.true(getShare(urgent) >= getShare(before.urgent));
		t.true(urgent.onTime + lower.onTime >= before.urgent.onTime + before.lower.onTime);
		t.true(lower.served / (lower.served + urgent.served) >= 0.1);
		t.true(getShare(lower) >= getShare(urgent) / 4);
		t.true(first.every(tally => getShare(tally) >= 0.25), 'an instance that is cut off goes on');
	});
}
