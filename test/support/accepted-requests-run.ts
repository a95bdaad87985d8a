import {RandomSource} from '../../src/routing/random-source.js';
import {Disturbances} from './disturbances.js';
import {RecordedConnection} from './recorded-connection.js';
import {type RequestLife} from './request-life.js';
import {findRepeated, judgeRequests, type JudgedRequest} from './request-ledger.js';
import {drawRequest, getAnswerBytes} from './request-plan.js';
import {RouterProcess} from './router-process.js';

const stageCount = 6;
const callersPerInstance = 16;
/** So that no two runs share a source of random numbers. */
const maxSources = 1000;
const loadMs = 10_000;
const secondStopMs = 700;
const eventPauseMs = 20;
const reconnectionPauseMs = 50;
/** For log lines that are still to arrive. */
const quietMs = 500;
/** So that no line of the log is suppressed. */
const logSettings = '[logs]\nlines_per_second = 10000\nburst = 100000\n';

/** What came of a run. */
export type RunResult = {
	readonly requests: readonly JudgedRequest[];
	/** Ids of requests that ran twice although they must not. */
	readonly repeated: readonly string[];
	readonly disturbances: readonly string[];
	readonly exitCodes: readonly number[];
};

/** Two instances side by side with callers that keep their connections, under disturbances that a seed decides, until both instances have stopped. */
export class AcceptedRequestsRun {
	/** Starts both instances. */
	static async start(seed: number): Promise<AcceptedRequestsRun> {
		const first = new RouterProcess(stageCount);
		await first.startSimulators();
		first.changeSettings(logSettings);
		await first.startRouter();
		await first.waitUntil(() => first.stages.every(({range}) => range !== null));
		first.startHeartbeats();
		const second = new RouterProcess(0, {first, id: 'entry-b'});
		await second.writeSettings();
		second.changeSettings(logSettings);
		await second.startRouter();
		await first.waitUntil(async () => await first.sendForStatus('/drafts/0') === 200 && await second.sendForStatus('/drafts/0') === 200);
		return new AcceptedRequestsRun(seed, [first, second]);
	}

	private readonly lives: RequestLife[] = [];
	private sentRequests = 0;
	private sources = 0;
	private readonly disturbances: Disturbances;

	private constructor(private readonly seed: number, private readonly routers: readonly RouterProcess[]) {
		this.disturbances = new Disturbances(routers, this.createSource());
		for (const {behaviour} of this.servers) {
			behaviour.pause = eventPauseMs;
			behaviour.answerBytes = getAnswerBytes;
		}
	}

	/** Runs to the end of both instances. */
	async run(): Promise<RunResult> {
		const callers = this.routers.flatMap(router => Array.from({length: callersPerInstance}, async () => this.call(router, this.createSource())));
		const disturbing = this.disturbances.run();
		await this.timers.sleep(loadMs);
		const exitCodes = await Promise.all(this.routers.map(async (router, index) => this.stopInstance(router, index)));
		this.disturbances.stop();
		await Promise.all([...callers, disturbing]);
		await this.timers.sleep(quietMs);
		return {
			requests: judgeRequests(this.lives, this.routers.flatMap(({logLines}) => logLines)),
			repeated: findRepeated(this.servers),
			disturbances: this.disturbances.done,
			exitCodes,
		};
	}

	/** Ends the processes and the simulators. */
	async stop(): Promise<void> {
		this.disturbances.stop();
		for (const router of this.routers.toReversed()) {
			await router.stop(); // eslint-disable-line no-await-in-loop
		}
	}

	private createSource(): RandomSource {
		return new RandomSource((this.seed * maxSources) + this.sources++);
	}

	private get timers() {
		return this.routers[0].timers;
	}

	private get servers() {
		return [...this.routers[0].stages, ...this.routers[0].records];
	}

	private async stopInstance(router: RouterProcess, index: number): Promise<number> {
		await this.timers.sleep(index * secondStopMs);
		this.disturbances.record(`instance ${index} is stopped`);
		router.signal('SIGTERM');
		return router.waitForExit();
	}

	/** Sends requests on one connection after the other until the instance has ended. */
	private async call(router: RouterProcess, random: RandomSource): Promise<void> {
		const name = `instance ${this.routers.indexOf(router)}`;
		while (router.isRunning) {
			const connection = await RecordedConnection.open(router.callersPort, name, this.timers); // eslint-disable-line no-await-in-loop
			await (connection ? this.useConnection(connection, random) : this.timers.sleep(reconnectionPauseMs)); // eslint-disable-line no-await-in-loop
		}
	}

	private async useConnection(connection: RecordedConnection, random: RandomSource): Promise<void> {
		while (connection.isOpen) {
			const plan = drawRequest(random, `r-${++this.sentRequests}`);
			await this.timers.sleep(plan.pauseMs); // eslint-disable-line no-await-in-loop
			this.lives.push(await connection.send(plan)); // eslint-disable-line no-await-in-loop
		}
	}
}
