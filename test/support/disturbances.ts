import {type RandomSource} from '../../src/routing/random-source.js';
import {type StageSimulator} from '../../simulators/stage-simulator.js';
import {drawConfiguration} from './configuration-draws.js';
import {type RouterProcess} from './router-process.js';

const firstVersion = 10;
const maxPauseMs = 300;
const shortestSilenceMs = 1000;
const silenceRangeMs = 500;
const rejectionMs = 400;
const shortestStallMs = 300;
const stallRangeMs = 600;
const lastEvent = 5;

/** Disturbs routers and their backend servers, one disturbance after the other and several at once. */
export class Disturbances {
	/** What was done, with the time since the start in milliseconds. */
	readonly done: string[] = [];
	private version = firstVersion;
	private isOver = false;
	private readonly startedAt: number;
	private readonly kinds: ReadonlyArray<() => void | Promise<void>>;

	constructor(private readonly routers: readonly RouterProcess[], private readonly random: RandomSource) {
		this.startedAt = this.timers.now();
		const change = () => {
			this.changeConfiguration();
		};

		this.kinds = [
			change,
			change,
			change,
			() => {
				this.reload();
			},
			async () => this.silence(),
			async () => this.reject(),
			() => {
				this.breakStream();
			},
			async () => this.stall(),
		];
	}

	/** Disturbs at random intervals, with some disturbances overlapping, until it is stopped. */
	async run(): Promise<void> {
		while (!this.isOver) {
			const work = this.random.pick(this.kinds)();
			if (this.random.nextInteger(2) === 0) {
				await work; // eslint-disable-line no-await-in-loop
			}

			await this.timers.sleep(this.random.nextInteger(maxPauseMs)); // eslint-disable-line no-await-in-loop
		}
	}

	/** Begins no further disturbance. */
	stop(): void {
		this.isOver = true;
	}

	/** Records what is done. */
	record(text: string): void {
		this.done.push(`${Math.round(this.timers.now() - this.startedAt)} ms: ${text}`);
	}

	private get timers() {
		return this.routers[0].timers;
	}

	private changeConfiguration(): void {
		const {kinds, value} = drawConfiguration(this.random, this.version++);
		this.record(`configuration ${this.version - 1}: ${kinds.join(', ')}`);
		this.routers[0].store.putRow('op', 'config', value);
	}

	private reload(): void {
		this.record('SIGHUP');
		for (const router of this.routers) {
			router.changeSettings(`; ${this.version}\n`);
			router.signal('SIGHUP');
		}
	}

	private get server(): StageSimulator {
		const {stages, records} = this.routers[0];
		return this.random.pick([...stages, ...records]);
	}

	private async silence(): Promise<void> {
		const {server} = this;
		const silenceMs = shortestSilenceMs + this.random.nextInteger(silenceRangeMs);
		this.record(`${server.id} is silent for ${silenceMs} ms`);
		if (this.routers[0].stages.includes(server)) {
			server.behaviour.pauseWithinStream = silenceMs;
			return;
		}

		const {pause} = server.behaviour;
		server.behaviour.pause = Math.max(pause, silenceMs);
		await this.timers.sleep(silenceMs);
		server.behaviour.pause = Math.min(pause, this.usualPause);
	}

	/** The pause that every server has again after its silence. */
	private get usualPause(): number {
		return this.routers[0].stages[0].behaviour.pause;
	}

	private async reject(): Promise<void> {
		const {server} = this;
		this.record(`${server.id} rejects for ${rejectionMs} ms`);
		server.behaviour.rejectionStatus = 503;
		await this.timers.sleep(rejectionMs);
		server.behaviour.rejectionStatus = undefined;
	}

	private breakStream(): void {
		const stage = this.random.pick(this.routers[0].stages);
		this.record(`${stage.id} breaks a stream off`);
		stage.behaviour.breakWithinEvent = 2 + this.random.nextInteger(lastEvent - 1);
	}

	private async stall(): Promise<void> {
		const router = this.random.pick(this.routers);
		const stallMs = shortestStallMs + this.random.nextInteger(stallRangeMs);
		this.record(`instance ${this.routers.indexOf(router)} stands still for ${stallMs} ms`);
		router.signal('SIGSTOP');
		await this.timers.sleep(stallMs);
		router.signal('SIGCONT');
	}
}
