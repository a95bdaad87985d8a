import * as z from 'zod';
import {type TimerService} from '../src/time/timer-service.js';
import {type EngineSettings} from './engine-settings.js';
import {StatusResponse} from './json-server.js';

const orderSchema = z.object({
	model: z.string(), version: z.string(), firstLayer: z.number(), endLayer: z.number(), fencing: z.number(),
});

const weightLoadMs = 300;

/** What a stand-in engine has loaded, and the orders that change it. */
export class EngineState {
	/** Whether orders with an old fencing number are refused. */
	checksOrders: boolean;
	/** Monotonic time in milliseconds since which it says that it is leaving; undefined where it does not. */
	leavingSince?: number;
	private highestFencing = 0;

	constructor(private current: EngineSettings, private readonly timers: TimerService) {
		this.checksOrders = current.checksOrders;
	}

	get settings(): EngineSettings {
		return this.current;
	}

	/** Takes an order; the weights are loaded a little later. */
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

	/** Its load report. */
	createLoadReport(activity: {readonly running: number; readonly queued: number}, slowness: number): unknown {
		const {tokenRate, links, version} = this.current;
		return {
			...activity, tokenRate: tokenRate / slowness, isLeaving: this.leavingSince !== undefined, links, version,
		};
	}

	/** The state that it has. */
	getState(): unknown {
		const {model, version, firstLayer, endLayer} = this.current;
		return {
			model, version, firstLayer, endLayer, fencing: this.highestFencing,
		};
	}
}
