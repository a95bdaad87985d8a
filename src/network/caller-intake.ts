import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {BlockPool} from './block-pool.js';
import {BodyReception} from './body-reception.js';
import {type InputScheduler} from './input-scheduler.js';
import {type RequestBudget, type MemoryClaim, type RequestDecision} from './request-budget.js';
import {type RequestRefusal} from './request-refusal.js';
import {RestReader} from './rest-reader.js';

/** What the intake of a process depends on. */
export type CallerIntakeDependencies = {
	readonly budget: RequestBudget;
	readonly scheduler: InputScheduler;
	/** Connections of callers that may be open at a time. */
	readonly maxConnections: number;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

const checkIntervalMs = 1000;

/** Receives what callers send to a process within the bounds of the process. */
export class CallerIntake {
	readonly rests: RestReader;
	private readonly pool = new BlockPool();
	private isChecking = false;

	constructor(private readonly dependencies: CallerIntakeDependencies) {
		this.rests = new RestReader(dependencies.timers);
	}

	/** Connections of callers that may be open at a time. */
	get maxConnections(): number {
		return this.dependencies.maxConnections;
	}

	/** Schedules the input of all connections. */
	get scheduler(): InputScheduler {
		return this.dependencies.scheduler;
	}

	get timers(): TimerService {
		return this.dependencies.timers;
	}

	/**
	Prepares the reception of a body, which ends with the response at the latest.

	@param findLimit - returns the largest body in bytes
	*/
	receive(message: IncomingMessage, response: ServerResponse, findLimit: () => number): BodyReception {
		const {budget, timers} = this.dependencies;
		const reception = new BodyReception(message, findLimit, {
			budget,
			pool: this.pool,
			now: () => timers.now(),
			apply: decisions => {
				this.apply(decisions);
			},
		});
		response.once('close', () => {
			reception.lose();
		});
		this.scheduleCheck();
		return reception;
	}

	private apply(decisions: readonly RequestDecision[]): void {
		for (const decision of decisions) {
			this.recordRefusal(decision);
			decision.claim.refuse(decision.refusal);
		}
	}

	private recordRefusal({claim, refusal}: {readonly claim: MemoryClaim; readonly refusal: RequestRefusal}): void {
		const {budget, metrics, log, timers} = this.dependencies;
		metrics.count('siskinnotch_bodies_refused', 1, {reason: refusal});
		log.warn('body.refused', {
			reason: refusal,
			bytes: claim.bytes,
			recentBytes: claim.progress.getRecentBytes(timers.now()),
			pieces: claim.progress.pieces,
			usedBytes: budget.usedBytes,
			capacity: budget.capacity,
			receiving: budget.receivingBodies,
		});
	}

	/** Looks for slow bodies from time to time while any are being received. */
	private scheduleCheck(): void {
		if (this.isChecking) {
			return;
		}

		this.isChecking = true;
		const {budget, timers} = this.dependencies;
		timers.after(checkIntervalMs, () => {
			this.isChecking = false;
			this.apply(budget.findSlow(timers.now()));
			if (budget.receivingBodies > 0) {
				this.scheduleCheck();
			}
		});
	}
}
