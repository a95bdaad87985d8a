import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {BlockPool} from './block-pool.js';
import {BodyReception} from './body-reception.js';
import {type InputScheduler} from './input-scheduler.js';
import {type RequestBudget, MemoryClaim, type RequestDecision} from './request-budget.js';
import {computeRequestMemory, RequestMemory} from './request-memory.js';
import {type RequestRefusal} from './request-refusal.js';
import {RestReader} from './rest-reader.js';
import {InputMemory} from './input-memory.js';

/** What the intake of a process depends on. */
export type CallerIntakeDependencies = {
	readonly budget: RequestBudget;
	readonly scheduler: InputScheduler;
	/** Connections of callers that may be open at a time. */
	readonly maxConnections: number;
	/** Bytes of all replies that may wait for their callers to read. */
	readonly maxUnsentBytes: number;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

const checkIntervalMs = 1000;
/** Time in milliseconds after which the connection of a request that was refused for its memory is closed, also if its caller has not read the reply. */
const maxRefusalMs = 1000;

/** Receives what callers send to a process within the bounds of the process. */
export class CallerIntake {
	readonly rests: RestReader;
	private readonly pool: BlockPool;
	private readonly memories = new WeakMap<IncomingMessage, RequestMemory>();
	private isChecking = false;

	constructor(private readonly dependencies: CallerIntakeDependencies) {
		this.rests = new RestReader(dependencies.timers, () => dependencies.budget.isScarce);
		this.pool = new BlockPool(dependencies.budget.capacity);
	}

	/** Connections of callers that may be open at a time. */
	get maxConnections(): number {
		return this.dependencies.maxConnections;
	}

	/** Bytes of all replies that may wait for their callers to read. */
	get maxUnsentBytes(): number {
		return this.dependencies.maxUnsentBytes;
	}

	/** Schedules the input of all connections. */
	get scheduler(): InputScheduler {
		return this.dependencies.scheduler;
	}

	get timers(): TimerService {
		return this.dependencies.timers;
	}

	/**
	Prepares the reception of the body of a request whose memory is counted. It ends with the reply at the latest.

	@param findLimit - returns the largest body in bytes
	*/
	receive(message: IncomingMessage, findLimit: () => number): BodyReception {
		const {budget, timers} = this.dependencies;
		const memory = this.memories.get(message)!;
		const reception = new BodyReception(message, findLimit, {
			budget,
			pool: this.pool,
			memory,
			now: () => timers.now(),
			apply: decisions => {
				this.apply(decisions);
			},
		});
		memory.attach({
			refuse(refusal) {
				reception.refuse(refusal);
			},
			end() {
				reception.lose();
			},
		});
		this.scheduleCheck();
		return reception;
	}

	/**
	Counts the memory of a request without its body until it ends.

	@param mayReply - returns whether a reply to the request would be sent at once
	@param close - closes the connection; called if the memory is needed before the request has arrived and no reply can be sent
	*/
	admit(message: IncomingMessage, mayReply: () => boolean, close: () => void): RequestMemory {
		const {budget, timers} = this.dependencies;
		const claim: MemoryClaim = new MemoryClaim(timers.now(), refusal => {
			budget.refuse(claim);
			memory.refuse(refusal, mayReply() && budget.mayReply);
			memory.closeWith(timers.after(maxRefusalMs, close));
		}, {isPaced: false, isComplete: () => message.complete});
		const memory = new RequestMemory(close, () => {
			budget.release(claim);
		});
		this.memories.set(message, memory);
		budget.add(claim);
		this.resize(claim, computeRequestMemory(message));
		return memory;
	}

	/**
	Counts the memory of input that is no request yet.

	@param refuse - called if the memory is needed
	*/
	createInputMemory(refuse: () => void): InputMemory {
		const {budget} = this.dependencies;
		return new InputMemory({
			create: this.createInputClaim.bind(this, refuse),
			resize: this.resize.bind(this),
			release: budget.release.bind(budget),
		});
	}

	private createInputClaim(refuse: () => void): MemoryClaim {
		const {budget, timers} = this.dependencies;
		const claim = new MemoryClaim(timers.now(), () => {
			budget.refuse(claim);
			refuse();
		}, {isPaced: false});
		budget.add(claim);
		return claim;
	}

	private resize(claim: MemoryClaim, bytes: number): void {
		this.apply(this.dependencies.budget.resize(claim, bytes, this.dependencies.timers.now()));
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
			receiving: budget.receivingClaims,
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
			if (budget.receivingClaims > 0) {
				this.scheduleCheck();
			}
		});
	}
}
