import {requestCompletion, CompletionOutcome, type CompletionResult} from '../harness/completion-caller.js';
import {computeMaximumFlow} from '../src/routing/maximum-flow.js';
import {RandomSource} from '../src/routing/random-source.js';
import {RoutePolicyKind} from '../src/routing/route-policy-kind.js';
import {
	layers, planFleet, createServerStates, type Workload,
} from './fleet-plan.js';
import {
	Durations, type Percentiles, type Report, round,
} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const entryCount = 3;
const workload: Workload = {promptLength: 400, tokens: 100};
const warmUpMs = 6000;
const windowMs = 10_000;
const saturationFactor = 1.3;
const moderateLoadShare = 0.8;

type Load = {
	readonly policy: RoutePolicyKind;
	/** Number of concurrent streams; undefined to send requests at a rate. */
	readonly streams?: number;
	/** Requests a second, if `streams` is undefined. */
	readonly rate?: number;
};

type Outcome = {
	/** Throughput in tokens a second. */
	readonly achieved: number;
	readonly firstToken: Percentiles;
	readonly gap: Percentiles;
	readonly refused: number;
	readonly wrong: number;
};

/** Sends requests, and records the tokens that arrive within the measurement window. */
class ThroughputLoad {
	readonly firstToken = new Durations();
	readonly gap = new Durations();
	tokens = 0;
	refused = 0;
	wrong = 0;
	private number = 0;

	constructor(private readonly measurement: MeasurementCluster, private readonly from: number, private readonly until: number) {}

	/** Keeps a number of concurrent streams running until the end of the window. */
	async keepStreams(streams: number): Promise<void> {
		await Promise.all(Array.from({length: streams}, async (_, index) => {
			await this.measurement.cluster.timers.sleep(index * 10);
			while (performance.now() < this.until) {
				await this.sendRequest(); // eslint-disable-line no-await-in-loop
			}
		}));
	}

	/** Sends requests at a rate a second, with exponentially distributed intervals. */
	async sendAtRate(rate: number, random: RandomSource): Promise<void> {
		const running: Array<Promise<void>> = [];
		let next = performance.now();
		while (performance.now() < this.until) {
			next += -Math.log(1 - random.nextFraction()) * 1000 / rate;
			await this.measurement.cluster.timers.sleep(Math.max(0, next - performance.now())); // eslint-disable-line no-await-in-loop
			running.push(this.sendRequest());
		}

		await Promise.all(running);
	}

	private async sendRequest(): Promise<void> {
		const {entries} = this.measurement.cluster;
		const number = this.number++;
		const startedAt = performance.now();
		const result = await requestCompletion({
			callerAddress: entries[number % entries.length].callerAddress,
			key: this.measurement.key,
			model: 'findings',
			prompt: `${number} [${workload.tokens} tokens] `.padEnd(workload.promptLength, 'x'),
			maximumTokens: workload.tokens,
		});
		this.recordResult(result, startedAt);
		if (result.outcome !== CompletionOutcome.Complete) {
			await this.measurement.cluster.timers.sleep(200);
		}
	}

	private recordResult({outcome, arrivals, tokens}: CompletionResult, startedAt: number): void {
		this.wrong += outcome === CompletionOutcome.Incorrect ? 1 : 0;
		this.refused += outcome === CompletionOutcome.Refused ? 1 : 0;
		const perArrival = tokens / Math.max(1, arrivals.length);
		for (const [index, at] of arrivals.entries()) {
			if (at < this.from || at >= this.until) {
				continue;
			}

			this.tokens += perArrival;
			if (index === 0) {
				this.firstToken.add(at - startedAt);
			} else {
				this.gap.add(at - arrivals[index - 1]);
			}
		}
	}
}

async function run(seed: number, {policy, streams, rate}: Load): Promise<Outcome> {
	// Admission allows a wide token gap, so that the routing policy and not admission limits the throughput.
	const measurement = new MeasurementCluster({
		routing: {policy}, limits: {
			token_gap: '400 ms', queue: '1000', queue_time: '20 s', deadline: '60 s', // eslint-disable-line @typescript-eslint/naming-convention
		}, backends: {stall: '3 s', first_token: '5 s'}, // eslint-disable-line @typescript-eslint/naming-convention
	});
	try {
		await measurement.cluster.startPlatform();
		await measurement.startFleet(planFleet(new RandomSource(seed), workload));
		await measurement.startEntries(entryCount);
		await measurement.waitForRoutes();
		const from = performance.now() + warmUpMs;
		const load = new ThroughputLoad(measurement, from, from + windowMs);
		await (streams === undefined ? load.sendAtRate(rate ?? 1, new RandomSource(seed)) : load.keepStreams(streams));
		return {
			achieved: load.tokens / (windowMs / 1000), firstToken: load.firstToken.percentiles(), gap: load.gap.percentiles(), refused: load.refused, wrong: load.wrong,
		};
	} finally {
		await measurement.stop();
	}
}

/** Measures tokens a second at saturation against the maximum flow for each routing policy, and latencies of the flow policy at 80 % of the bound. */
export async function measureThroughput(seed: number): Promise<Report> {
	const bound = computeMaximumFlow(createServerStates(planFleet(new RandomSource(seed), workload)), layers).total;
	const streams = Math.ceil(bound * 0.08 * saturationFactor);
	const rows: Array<Array<string | number>> = [];
	const achieved = new Map<RoutePolicyKind, Outcome>();
	for (const policy of Object.values(RoutePolicyKind)) {
		const outcome = await run(seed, {policy, streams}); // eslint-disable-line no-await-in-loop
		achieved.set(policy, outcome);
		rows.push([policy, 'saturation', round(outcome.achieved), round(outcome.achieved / bound, 3), ...formatLatencies(outcome)]);
	}

	const moderate = await run(seed, {policy: RoutePolicyKind.Flow, rate: bound * moderateLoadShare / workload.tokens});
	rows.push(['flow', '80 % of the bound', round(moderate.achieved), round(moderate.achieved / bound, 3), ...formatLatencies(moderate)]);
	const {achieved: flow} = achieved.get(RoutePolicyKind.Flow)!;
	return {
		header: ['policy', 'load', 'tokens/s', 'ratio', 'first token 50/95/99 ms', 'gap 50/95/99 ms', 'refused', 'wrong'],
		rows,
		figures: {
			bound: round(bound),
			achieved: round(flow),
			ratio: round(flow / bound, 3),
			baselines: Object.fromEntries([...achieved].filter(([policy]) => policy !== RoutePolicyKind.Flow).map(([policy, outcome]) => [policy, round(outcome.achieved / bound, 3)])),
			streams,
			easy: {firstToken: moderate.firstToken, gap: moderate.gap, achieved: round(moderate.achieved)},
			targets: {firstTokenMs: 640, gapMs: 36},
		},
	};
}

function formatLatencies({firstToken, gap, refused, wrong}: Outcome): Array<string | number> {
	return [`${firstToken.p50}/${firstToken.p95}/${firstToken.p99}`, `${gap.p50}/${gap.p95}/${gap.p99}`, refused, wrong];
}
