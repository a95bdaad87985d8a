import * as z from 'zod';
import {type TimerService} from '../src/time/timer-service.js';
import {type EngineFaults} from './engine-faults.js';
import {type EngineSettings} from './engine-settings.js';
import {StatusResponse} from './json-server.js';

const orderSchema = z.object({
	model: z.string(), version: z.string(), firstLayer: z.number(), endLayer: z.number(), fencing: z.number(),
});

const weightLoadMs = 300;

/** The model, version and layer range that an engine simulator has loaded, and the orders that change them. */
export class EngineState {
	/** Whether orders with an outdated fencing number are refused. */
	checksOrders: boolean;
	/** Whether new attempts are refused. */
	refusesAttempts = false;
	/** Monotonic time in milliseconds since which the engine reports that it is leaving; undefined if it is not. */
	leavingSince?: number;
	private highestFencing = 0;

	constructor(private current: EngineSettings, private readonly timers: TimerService) {
		this.checksOrders = current.checksOrders;
	}

	get settings(): EngineSettings {
		return this.current;
	}

	/** Applies those of the faults that concern orders, leaving and new attempts. */
	applyFaults({ignoreFencing, isLeaving, refusesAttempts}: EngineFaults): void {
		if (ignoreFencing !== undefined) {
			this.checksOrders = !ignoreFencing;
		}

		if (isLeaving !== undefined) {
			this.leavingSince = isLeaving ? this.timers.now() : undefined;
		}

		this.refusesAttempts = refusesAttempts ?? this.refusesAttempts;
	}

	/** Answers an order. Its layer range takes effect after the simulated load time of the weights. */
	applyOrder(body: unknown): unknown {
		const {model, version, firstLayer, endLayer, fencing} = orderSchema.parse(body);
		if (this.checksOrders && fencing < this.highestFencing) {
			return new StatusResponse(409, {message: `fencing number ${fencing} is below ${this.highestFencing}`});
		}

		this.highestFencing = Math.max(this.highestFencing, fencing);
		this.timers.after(weightLoadMs, () => {
			this.current = {
				...this.current, model, version, firstLayer, endLayer,
			};
		});
		return {};
	}

	/** Creates a load report. */
	createLoadReport(activity: {readonly running: number; readonly queued: number}, slowness: number): unknown {
		const {tokenRate, links, version} = this.current;
		return {
			...activity, tokenRate: tokenRate / slowness, isLeaving: this.leavingSince !== undefined, links, version,
		};
	}

	/** Returns what is loaded, with the highest fencing number seen. */
	getState(): unknown {
		const {model, version, firstLayer, endLayer} = this.current;
		return {
			model, version, firstLayer, endLayer, fencing: this.highestFencing,
		};
	}
}
