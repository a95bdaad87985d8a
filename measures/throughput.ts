import {askForDraft, DraftEnd, type DraftResult} from '../harness/draft-caller.js';
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
const saturation = 1.3;
const easyShare = 0.8;

type Load = {
	readonly policy: RoutePolicyKind;
	/** Streams at once; undefined for requests that come at a rate. */
	readonly streams?: number;
	/** Requests a second. */
	readonly rate?: number;
};

type Outcome = {
	/** Tokens a second. */
	readonly achieved: number;
	readonly firstToken: Percentiles;
	readonly gap: Percentiles;
	readonly refused: number;
	readonly wrong: number;
};

class Callers {
	readonly firstToken = new Durations();
	readonly gap = new Durations();
	tokens = 0;
	refused = 0;
	wrong = 0;
	private number = 0;

	constructor(private readonly stage: MeasurementCluster, private readonly from: number, private readonly until: number) {}

	/** Keeps a number of streams running. */
	async keep(streams: number): Promise<void> {
		await Promise.all(Array.from({length: streams}, async (_, index) => {
			await this.stage.cluster.timers.sleep(index * 10);
			while (performance.now() < this.until) {
				await this.ask(); // eslint-disable-line no-await-in-loop
			}
		}));
	}

	/** Starts requests at a rate a second. */
	async arrive(rate: number, random: RandomSource): Promise<void> {
		const running: Array<Promise<void>> = [];
		let next = performance.now();
		while (performance.now() < this.until) {
			next += -Math.log(1 - random.nextFraction()) * 1000 / rate;
			await this.stage.cluster.timers.sleep(Math.max(0, next - performance.now())); // eslint-disable-line no-await-in-loop
			running.push(this.ask());
		}

		await Promise.all(running);
	}

	private async ask(): Promise<void> {
		const {entries} = this.stage.cluster;
		const number = this.number++;
		const begin = performance.now();
		const result = await askForDraft({
			callers: entries[number % entries.length].callers,
			key: this.stage.key,
			model: 'findings',
			prompt: `${number} [${workload.tokens} tokens] `.padEnd(workload.promptLength, 'x'),
			maximumTokens: workload.tokens,
		});
		this.note(result, begin);
		if (result.end !== DraftEnd.Whole) {
			await this.stage.cluster.timers.sleep(200);
		}
	}

	private note({end, arrivals, tokens}: DraftResult, begin: number): void {
		this.wrong += end === DraftEnd.Wrong ? 1 : 0;
		this.refused += end === DraftEnd.Refused ? 1 : 0;
		const perArrival = tokens / Math.max(1, arrivals.length);
		for (const [index, at] of arrivals.entries()) {
			if (at < this.from || at >= this.until) {
				continue;
			}

			this.tokens += perArrival;
			if (index === 0) {
				this.firstToken.add(at - begin);
			} else {
				this.gap.add(at - arrivals[index - 1]);
			}
		}
	}
}

async function run(seed: number, {policy, streams, rate}: Load): Promise<Outcome> {
	// The gap that the admission allows is wide, so that the policies and not the admission set the limit.
	const stage = new MeasurementCluster({
		routing: {policy}, limits: {
			token_gap: '400 ms', queue: '1000', queue_time: '20 s', deadline: '60 s', // eslint-disable-line @typescript-eslint/naming-convention
		}, backends: {stall: '3 s', first_token: '5 s'}, // eslint-disable-line @typescript-eslint/naming-convention
	});
	try {
		await stage.cluster.startPlatform();
		await stage.startFleet(planFleet(new RandomSource(seed), workload));
		await stage.startEntries(entryCount);
		await stage.waitForRoutes();
		const from = performance.now() + warmUpMs;
		const callers = new Callers(stage, from, from + windowMs);
		await (streams === undefined ? callers.arrive(rate ?? 1, new RandomSource(seed)) : callers.keep(streams));
		return {
			achieved: callers.tokens / (windowMs / 1000), firstToken: callers.firstToken.percentiles(), gap: callers.gap.percentiles(), refused: callers.refused, wrong: callers.wrong,
		};
	} finally {
		await stage.stop();
	}
}

/** Tokens a second at saturation against the maximum flow, for the policy in force and the baselines; and the times at 80 % of the bound. */
export async function measureThroughput(seed: number): Promise<Report> {
	const bound = computeMaximumFlow(createServerStates(planFleet(new RandomSource(seed), workload)), layers).total;
	const streams = Math.ceil(bound * 0.08 * saturation);
	const rows: Array<Array<string | number>> = [];
	const achieved = new Map<RoutePolicyKind, Outcome>();
	for (const policy of Object.values(RoutePolicyKind)) {
		const outcome = await run(seed, {policy, streams}); // eslint-disable-line no-await-in-loop
		achieved.set(policy, outcome);
		rows.push([policy, 'saturation', round(outcome.achieved), round(outcome.achieved / bound, 3), ...timesOf(outcome)]);
	}

	const easy = await run(seed, {policy: RoutePolicyKind.Flow, rate: bound * easyShare / workload.tokens});
	rows.push(['flow', '80 % of the bound', round(easy.achieved), round(easy.achieved / bound, 3), ...timesOf(easy)]);
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
			easy: {firstToken: easy.firstToken, gap: easy.gap, achieved: round(easy.achieved)},
			targets: {firstTokenMs: 640, gapMs: 36},
		},
	};
}

function timesOf({firstToken, gap, refused, wrong}: Outcome): Array<string | number> {
	return [`${firstToken.p50}/${firstToken.p95}/${firstToken.p99}`, `${gap.p50}/${gap.p95}/${gap.p99}`, refused, wrong];
}
