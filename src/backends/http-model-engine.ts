import {Agent} from 'node:http';
import got from 'got';
import * as z from 'zod';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type Attempt} from './attempt.js';
import {type AttemptHandle} from './attempt-handle.js';
import {type AttemptSink} from './attempt-sink.js';
import {type CacheEvent, cacheEventsSchema} from './cache-event.js';
import {type EngineOrder} from './engine-order.js';
import {FinishReason} from './finish-reason.js';
import {type Frame} from './frame.js';
import {requestOnce} from './http-request.js';
import {LineSplitter} from './line-splitter.js';
import {type LoadReport, loadReportSchema} from './load-report.js';
import {ModelEngine} from './model-engine.js';
import {type Stage} from './stage.js';
import {type StageStatus, stageStatusSchema} from './stage-status.js';

const cancelLimitMs = 500;
const connectionRetirementMs = 60_000;

/** A line of an attempt's stream: a token, or the end with a reason. Short keys, since each token costs one. */
const lineSchema = z.union([
	z.object({
		a: z.number(),
		i: z.number(),
		x: z.string(),
		r: z.array(z.tuple([z.number(), z.number(), z.number(), z.string()])),
		f: z.enum(FinishReason).optional(),
	}),
	z.object({error: z.string(), server: z.string().optional()}),
]);

/** A request whose answer is a stream. */
type StreamRequest = {
	readonly path: string;
	readonly body: unknown;
	readonly agent: Agent;
};

const stateSchema = z.object({
	model: z.string(), version: z.string(), firstLayer: z.number(), endLayer: z.number(), fencing: z.number(),
});

function frameOf(line: Extract<z.infer<typeof lineSchema>, {a: number}>): Frame {
	return {
		attempt: line.a,
		index: line.i,
		text: line.x,
		receipts: line.r.map(([stage, firstLayer, endLayer, version]) => ({
			stage, firstLayer, endLayer, version,
		})),
		finish: line.f,
	};
}

/** Model engines over HTTP with answers in JSON lines, as docs/ASSUMPTIONS.md describes them. */
export class HttpModelEngine extends ModelEngine {
	private agent = new Agent({keepAlive: true});

	constructor(private readonly timers: TimerService) {
		super();
		timers.repeat(connectionRetirementMs, () => {
			this.agent = new Agent({keepAlive: true});
		});
	}

	run(attempt: Attempt, sink: AttemptSink): AttemptHandle {
		return this.open(attempt, {path: '/attempts', body: {...attempt, headers: undefined}, agent: this.agent}, sink);
	}

	attach(attempt: Attempt, from: number, sink: AttemptSink): AttemptHandle {
		const body = {request: attempt.request, number: attempt.number, from};
		return this.open(attempt, {path: '/attempts/attach', body, agent: new Agent({keepAlive: false})}, sink);
	}

	async cancel(attempt: Attempt): Promise<void> {
		const body = {request: attempt.request, number: attempt.number};
		await Promise.allSettled(attempt.route.map(async ({address}) => requestOnce(this.timers, {url: `http://${address}/attempts/cancel`, limit: cancelLimitMs, body})));
	}

	async inspect(request: string, attempt: number, stage: Stage, limit: number): Promise<StageStatus | undefined> {
		try {
			const url = `http://${stage.address}/attempts/${encodeURIComponent(request)}/${attempt}`;
			const response = await requestOnce(this.timers, {url, limit});
			return stageStatusSchema.parse(JSON.parse(response.body));
		} catch {
			return undefined;
		}
	}

	async readCacheEvents(address: string, after: number, limit: number): Promise<readonly CacheEvent[]> {
		const response = await requestOnce(this.timers, {url: `http://${address}/cache/events?after=${after}`, limit});
		return cacheEventsSchema.parse(JSON.parse(response.body)).events;
	}

	async readLoad(address: string, limit: number): Promise<LoadReport> {
		const response = await requestOnce(this.timers, {url: `http://${address}/load`, limit});
		return loadReportSchema.parse(JSON.parse(response.body));
	}

	async sendOrder(address: string, order: EngineOrder, limit: number): Promise<boolean> {
		const response = await requestOnce(this.timers, {url: `http://${address}/orders`, limit, body: order});
		return response.statusCode === 200;
	}

	async readState(address: string, limit: number): Promise<EngineOrder | undefined> {
		try {
			const response = await requestOnce(this.timers, {url: `http://${address}/state`, limit});
			return stateSchema.parse(JSON.parse(response.body));
		} catch {
			return undefined;
		}
	}

	async copyCache(request: string, from: Stage, to: Stage, limit: number): Promise<number> {
		const response = await requestOnce(this.timers, {url: `http://${from.address}/cache/export`, limit, body: {request, to: to.address}});
		return z.object({positions: z.number()}).parse(JSON.parse(response.body)).positions;
	}

	private open(attempt: Attempt, {path, body, agent}: StreamRequest, sink: AttemptSink): AttemptHandle {
		const last = attempt.route.at(-1)!;
		const stream = got.stream.post(`http://${last.address}${path}`, {
			json: body,
			headers: attempt.headers,
			agent: {http: agent},
			retry: {limit: 0},
		});
		const lines = new LineSplitter();
		let isClosed = false;
		const close = (reason: string, server?: string): void => {
			if (!isClosed) {
				isClosed = true;
				stream.destroy();
				sink.onClosed(reason, server);
			}
		};

		stream.on('data', (chunk: Uint8Array) => {
			if (isClosed) {
				return;
			}

			try {
				this.read(lines.push(chunk), sink, close);
			} catch (error) {
				close(`an unreadable line: ${getErrorMessage(error)}`);
			}
		});
		stream.on('end', () => {
			close('the server ended the stream');
		});
		stream.on('error', error => {
			close(error.message);
		});
		return {
			close() {
				isClosed = true;
				stream.destroy();
			},
		};
	}

	private read(lines: readonly string[], sink: AttemptSink, close: (reason: string, server?: string) => void): void {
		const frames: Frame[] = [];
		let end: {readonly error: string; readonly server?: string} | undefined;
		for (const text of lines) {
			const line = lineSchema.parse(JSON.parse(text));
			if ('error' in line) {
				end = line;
			} else {
				frames.push(frameOf(line));
			}
		}

		if (frames.length > 0) {
			sink.onFrames(frames);
		}

		if (end) {
			close(end.error, end.server);
		}
	}
}
