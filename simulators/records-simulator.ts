import * as z from 'zod';
import {type TimerService} from '../src/time/timer-service.js';
import {type JsonRequest, JsonServer, StatusResponse} from './json-server.js';

/** How a call fails. */
export enum RecordsFault {
	/** The call is executed, then the connection is reset. */
	ResetAfter = 'reset_after',
	/** The connection is reset and the call is not executed. */
	ResetBefore = 'reset_before',
	/** The call is executed and not answered. */
	SilentAfter = 'silent_after',
	/** The call is neither executed nor answered. */
	SilentBefore = 'silent_before',
	/** The call is refused with status 503 and the header `x-execution: not_run`. */
	Refuse = 'refuse',
}

const faultsSchema = z.object({
	fault: z.enum(RecordsFault).optional(),
	/** Number of next calls that fail. */
	count: z.number().default(1),
	/** Duration of each execution in milliseconds. */
	delay: z.number().optional(),
	/** Whether load reports say that the server is leaving. */
	isLeaving: z.boolean().optional(),
});

/** Simulates a records service that counts the executions of each idempotency key. */
export class RecordsSimulator {
	private readonly server: JsonServer;
	private readonly executions = new Map<string, number>();
	private readonly traces: string[] = [];
	private fault?: RecordsFault;
	private faultCount = 0;
	private delay = 0;
	private isLeaving = false;
	private running = 0;
	private callsAfterLeaving = 0;

	constructor(private readonly timers: TimerService) {
		this.server = new JsonServer({
			'POST /operations': async request => this.handleCall(request),
			'GET /load': () => ({
				running: this.running, queued: 0, tokenRate: 100, isLeaving: this.isLeaving,
			}),
			'POST /control/faults': ({body}) => this.applyFaults(body),
			'GET /control/executions': () => ({
				executions: Object.fromEntries(this.executions), callsAfterLeaving: this.callsAfterLeaving, traces: this.traces,
			}),
		});
	}

	async listen(port: number): Promise<number> {
		return this.server.listen(port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	private applyFaults(body: unknown): unknown {
		const {fault, count, delay, isLeaving} = faultsSchema.parse(body);
		this.fault = fault;
		this.faultCount = fault ? count : 0;
		this.delay = delay ?? this.delay;
		this.isLeaving = isLeaving ?? this.isLeaving;
		return {};
	}

	private async handleCall(request: JsonRequest): Promise<unknown> {
		this.running++;
		try {
			return await this.execute(request);
		} finally {
			this.running--;
		}
	}

	private async execute({path, body, headers, response}: JsonRequest): Promise<unknown> {
		const fault = this.faultCount > 0 ? this.fault : undefined;
		this.faultCount = Math.max(0, this.faultCount - 1);
		this.callsAfterLeaving += this.isLeaving ? 1 : 0;
		const key = String(headers['idempotency-key'] ?? '');
		this.traces.push(String(headers.traceparent ?? ''));
		switch (fault) {
			case RecordsFault.ResetBefore: {
				response.destroy();
				return undefined;
			}

			case RecordsFault.SilentBefore: {
				return undefined;
			}

			case RecordsFault.Refuse: {
				response.setHeader('x-execution', 'not_run');
				return new StatusResponse(503, {message: 'not now'});
			}

			case RecordsFault.ResetAfter: {
				this.countExecution(key);
				response.destroy();
				return undefined;
			}

			case RecordsFault.SilentAfter: {
				this.countExecution(key);
				return undefined;
			}

			case undefined: {
				if (this.delay > 0) {
					await this.timers.sleep(this.delay);
				}

				return {operation: path[1], record: this.countExecution(key), echo: body};
			}
		}
	}

	private countExecution(key: string): number {
		const count = (this.executions.get(key) ?? 0) + 1;
		if (key !== '') {
			this.executions.set(key, count);
		}

		if (count > 1 && key !== '') {
			console.error(`records: key ${key} was executed ${count} times`);
		}

		return count;
	}
}
