import {CrashAnalysis} from '../../src/quarantine/crash-analysis.js';
import {type CrashAnalysisOptions} from '../../src/quarantine/crash-analysis-options.js';
import {type CrashReport} from '../../src/quarantine/crash-report.js';
import {LostAttempts} from '../../src/quarantine/lost-attempts.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';

/** What a simulation plays; rates are per second. */
export type CrashSimulationOptions = {
	readonly seed: number;
	readonly deadlyRate: number;
	readonly serverCrashRate: number;
	readonly rackCrashRate: number;
	/** Milliseconds from the start, after which deadly requests arrive. */
	readonly deadlyFrom: number;
	/** Whether an instance tells the others about its causes. */
	readonly sharesCauses: boolean;
};

type Server = {
	incarnationId: string;
	isUp: boolean;
	attempts: Set<Attempt>;
};

type Request = {
	readonly instance: Instance;
	readonly parts: readonly string[];
	attempts: number;
};

type Attempt = {
	readonly request: Request;
	readonly sentAt: number;
	hasEvent: boolean;
};

type Instance = {
	readonly clockOffset: number;
	readonly lost: LostAttempts;
	readonly analysis: CrashAnalysis;
	readonly found: Set<string>;
	/** Incarnations of which a report named the deadly part. */
	readonly knownCrashes: Set<string>;
};

/** A cause that one instance found. */
export type SimulatedCause = {
	readonly part: string;
	/** Crashes that the instance counted. */
	readonly crashes: number;
	/** Crashes of which the instance had a report that named the deadly part. */
	readonly knownCrashes: number;
	/** Crashes that the deadly part had caused by then. */
	readonly deadlyCrashes: number;
};

export const deadlyPart = 'deadly';
const instanceCount = 4;
const serverCount = 30;
const rackSize = 10;
const requestRate = 60;
const commonParts = 300;
const rareParts = 5000;
const maxAttempts = 3;
/** Error of a converted time, in milliseconds in either direction. */
const maxClockError = 100;
const assumedClockError = 150;

export const simulationAnalysisOptions: CrashAnalysisOptions = {
	minCrashes: 3, clearedMemory: 3_600_000, crashMemory: 600_000, maxClearedParts: 20_000, maxClearedRequests: 20_000, maxCrashes: 100, maxSuspects: 500, maxCauses: 100,
};

/** Plays instances, backend servers and requests, some of which crash each server that begins to answer them. */
export class CrashSimulation {
	readonly causes: SimulatedCause[] = [];
	/** Crashes that the deadly part caused. */
	deadlyCrashes = 0;
	/** Crashes of other causes. */
	otherCrashes = 0;
	private readonly timers = new ManualTimerService(1000);
	private readonly random: RandomSource;
	private readonly instances: readonly Instance[];
	private readonly servers: readonly Server[] = Array.from({length: serverCount}, (_, index) => ({incarnationId: `s${index}@0`, isUp: true, attempts: new Set()}));
	private readonly zipf: readonly number[];

	constructor(private readonly options: CrashSimulationOptions) {
		this.random = new RandomSource(options.seed);
		this.instances = Array.from({length: instanceCount}, (_, index) => ({
			clockOffset: index * 1_000_000, lost: new LostAttempts(10_000), analysis: new CrashAnalysis(simulationAnalysisOptions), found: new Set(), knownCrashes: new Set(),
		}));
		let sum = 0;
		this.zipf = Array.from({length: commonParts}, (_, index) => {
			sum += 1 / (index + 1);
			return sum;
		});
		this.arrive(requestRate, () => this.createParts());
		this.timers.after(options.deadlyFrom, () => {
			this.arrive(options.deadlyRate, () => [...this.createParts(), deadlyPart]);
		});
		this.happen(options.serverCrashRate, () => {
			this.crash([this.random.pick(this.servers)]);
		});
		this.happen(options.rackCrashRate, () => {
			const rack = this.random.nextInteger(serverCount / rackSize);
			this.crash(this.servers.slice(rack * rackSize, (rack + 1) * rackSize));
		});
	}

	/** Plays for a number of milliseconds. */
	play(duration: number): void {
		this.timers.advance(duration);
	}

	/** Calls a function at random times. */
	private happen(rate: number, callback: () => void): void {
		if (rate > 0) {
			this.timers.after(-Math.log(1 - this.random.nextFraction()) * 1000 / rate, () => {
				callback();
				this.happen(rate, callback);
			});
		}
	}

	private arrive(rate: number, createParts: () => readonly string[]): void {
		this.happen(rate, () => {
			this.send({instance: this.random.pick(this.instances), parts: createParts(), attempts: 0});
		});
	}

	private createParts(): readonly string[] {
		const parts = new Set<string>();
		if (this.random.nextFraction() < 0.9) {
			parts.add('preamble');
		}

		const count = 1 + this.random.nextInteger(3);
		for (let index = 0; index < count; index++) {
			const place = this.random.nextFraction() * this.zipf.at(-1)!;
			parts.add(`common-${this.zipf.findIndex(sum => sum > place)}`);
		}

		if (this.random.nextFraction() < 0.3) {
			parts.add(`rare-${this.random.nextInteger(rareParts)}`);
		}

		return [...parts];
	}

	private send(request: Request): void {
		const up = this.servers.filter(({isUp}) => isUp);
		if (up.length === 0 || request.attempts >= maxAttempts || request.parts.some(part => request.instance.found.has(part))) {
			return;
		}

		request.attempts++;
		const server = this.random.pick(up);
		const attempt: Attempt = {request, sentAt: this.timers.now(), hasEvent: false};
		server.attempts.add(attempt);
		this.timers.after(this.between(200, 1500), () => {
			if (!server.attempts.has(attempt)) {
				return;
			}

			if (request.parts.includes(deadlyPart)) {
				this.deadlyCrashes++;
				this.crash([server], true);
				return;
			}

			attempt.hasEvent = true;
			this.recordCauses(request.instance, request.instance.analysis.recordProgress(request.parts, this.getLocalTime(request.instance)));
			this.timers.after(this.between(1000, 8000), () => {
				server.attempts.delete(attempt);
			});
		});
	}

	private crash(servers: readonly Server[], isDeadly = false): void {
		for (const server of servers.filter(({isUp}) => isUp)) {
			this.otherCrashes += isDeadly ? 0 : 1;
			const {incarnationId, attempts} = server;
			server.isUp = false;
			server.attempts = new Set();
			this.timers.after(this.between(3000, 8000), () => {
				server.incarnationId = `${incarnationId.split('@')[0]}@${this.timers.now()}`;
				server.isUp = true;
			});
			for (const {request, sentAt, hasEvent} of attempts) {
				this.timers.after(this.between(1, 6), () => {
					this.lose(request, incarnationId, hasEvent ? undefined : sentAt);
				});
			}

			for (const instance of this.instances) {
				this.timers.after(this.between(100, 1500), () => {
					this.report(instance, instance.lost.confirmCrash(incarnationId, this.getLocalTime(instance)));
				});
			}
		}
	}

	private lose(request: Request, incarnationId: string, sentAt: number | undefined): void {
		const {instance, parts} = request;
		if (sentAt !== undefined) {
			this.report(instance, instance.lost.record({incarnationId, parts, sentAt: sentAt + instance.clockOffset}, this.getLocalTime(instance)));
		}

		this.send(request);
	}

	private report(from: Instance, report: CrashReport | undefined): void {
		if (!report) {
			return;
		}

		const filtered = from.analysis.filterSuspects(report, this.getLocalTime(from));
		this.noteDeadly(from, report);
		this.recordCauses(from, from.analysis.recordCrash(report, this.getLocalTime(from)));
		if (!filtered) {
			return;
		}

		this.tellOthers(from, to => {
			this.receive(from, to, filtered);
		});
	}

	private receive(from: Instance, to: Instance, report: CrashReport): void {
		const shift = to.clockOffset - from.clockOffset + this.between(-maxClockError, maxClockError);
		const suspects = report.suspects.map(({part, sentAt}) => ({part, sentAt: sentAt + shift}));
		const sound = to.analysis.findCleared(suspects.map(({part}) => part), this.getLocalTime(to));
		this.noteDeadly(to, report);
		this.recordCauses(to, to.analysis.recordCrash({...report, crashedAt: report.crashedAt + shift, suspects}, this.getLocalTime(to), assumedClockError));
		if (sound.length > 0) {
			this.tellOthers(to, other => {
				this.recordCauses(other, other.analysis.recordCleared(sound, this.getLocalTime(other)));
			});
		}
	}

	private noteDeadly(instance: Instance, {incarnationId, suspects}: CrashReport): void {
		if (suspects.some(({part}) => part === deadlyPart)) {
			instance.knownCrashes.add(incarnationId);
		}
	}

	private recordCauses(instance: Instance, causes: ReturnType<CrashAnalysis['recordCrash']>): void {
		for (const {part, crashes} of causes) {
			this.causes.push({
				part, crashes, knownCrashes: instance.knownCrashes.size, deadlyCrashes: this.deadlyCrashes,
			});
			instance.found.add(part);
			if (this.options.sharesCauses) {
				this.tellOthers(instance, other => {
					other.analysis.accept(part);
					other.found.add(part);
				});
			}
		}
	}

	private tellOthers(from: Instance, callback: (to: Instance) => void): void {
		for (const to of this.instances.filter(instance => instance !== from)) {
			this.timers.after(this.between(50, 300), () => {
				callback(to);
			});
		}
	}

	private getLocalTime(instance: Instance): number {
		return this.timers.now() + instance.clockOffset;
	}

	private between(min: number, max: number): number {
		return min + (this.random.nextFraction() * (max - min));
	}
}
