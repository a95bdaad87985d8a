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
import {sendJsonRequest} from './http-request.js';
import {LineSplitter} from './line-splitter.js';
import {type LoadReport, loadReportSchema} from './load-report.js';
import {ModelEngine} from './model-engine.js';
import {type Stage} from './stage.js';
import {type StageStatus, stageStatusSchema} from './stage-status.js';

const cancelTimeoutMs = 500;
const agentLifetimeMs = 60_000;

/** A line of an attempt's stream: either a token, or the end of the stream with a reason. The keys are short because each token takes one line. */
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

/** A request whose response is a stream. */
type StreamRequest = {
	readonly path: string;
	readonly body: unknown;
	readonly agent: Agent;
};

const engineStateSchema = z.object({
	model: z.string(), version: z.string(), firstLayer: z.number(), endLayer: z.number(), fencing: z.number(),
});

function toFrame(line: Extract<z.infer<typeof lineSchema>, {a: number}>): Frame {
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

/** Client of model engines over HTTP, with streams as JSON lines. The protocol is described in docs/ASSUMPTIONS.md. */
export class HttpModelEngine extends ModelEngine {
	private agent = new Agent({keepAlive: true});

	constructor(private readonly timers: TimerService) {
		super();
		timers.repeat(agentLifetimeMs, () => {
			this.agent = new Agent({keepAlive: true});
		});
	}

	run(attempt: Attempt, sink: AttemptSink): AttemptHandle {
		return this.openStream(attempt, {path: '/attempts', body: {...attempt, headers: undefined}, agent: this.agent}, sink);
	}

	attach(attempt: Attempt, from: number, sink: AttemptSink): AttemptHandle {
		const body = {request: attempt.request, number: attempt.number, from};
		return this.openStream(attempt, {path: '/attempts/attach', body, agent: new Agent({keepAlive: false})}, sink);
	}

	async cancel(attempt: Attempt): Promise<void> {
		const body = {request: attempt.request, number: attempt.number};
		await Promise.allSettled(attempt.route.map(async ({address}) => sendJsonRequest(this.timers, {url: `http://${address}/attempts/cancel`, timeout: cancelTimeoutMs, body})));
	}

	async inspect(request: string, attempt: number, stage: Stage, timeout: number): Promise<StageStatus | undefined> {
		try {
			const url = `http://${stage.address}/attempts/${encodeURIComponent(request)}/${attempt}`;
			const response = await sendJsonRequest(this.timers, {url, timeout});
			return stageStatusSchema.parse(JSON.parse(response.body));
		} catch {
			return undefined;
		}
	}

	async readCacheEvents(address: string, after: number, timeout: number): Promise<readonly CacheEvent[]> {
		const response = await sendJsonRequest(this.timers, {url: `http://${address}/cache/events?after=${after}`, timeout});
		return cacheEventsSchema.parse(JSON.parse(response.body)).events;
	}

	async readLoad(address: string, timeout: number): Promise<LoadReport> {
		const response = await sendJsonRequest(this.timers, {url: `http://${address}/load`, timeout});
		return loadReportSchema.parse(JSON.parse(response.body));
	}

	async sendOrder(address: string, order: EngineOrder, timeout: number): Promise<boolean> {
		const response = await sendJsonRequest(this.timers, {url: `http://${address}/orders`, timeout, body: order});
		return response.statusCode === 200;
	}

	async readState(address: string, timeout: number): Promise<EngineOrder | undefined> {
		try {
			const response = await sendJsonRequest(this.timers, {url: `http://${address}/state`, timeout});
			return engineStateSchema.parse(JSON.parse(response.body));
		} catch {
			return undefined;
		}
	}

	async copyCache(request: string, from: Stage, to: Stage, timeout: number): Promise<number> {
		const response = await sendJsonRequest(this.timers, {url: `http://${from.address}/cache/export`, timeout, body: {request, to: to.address}});
		return z.object({positions: z.number()}).parse(JSON.parse(response.body)).positions;
	}

	private openStream(attempt: Attempt, {path, body, agent}: StreamRequest, sink: AttemptSink): AttemptHandle {
		const lastStage = attempt.route.at(-1)!;
		const stream = got.stream.post(`http://${lastStage.address}${path}`, {
			json: body,
			headers: attempt.headers,
			agent: {http: agent},
			retry: {limit: 0},
		});
		const lines = new LineSplitter();
		let isClosed = false;
		const close = (reason: string, unreachableServer?: string): void => {
			if (!isClosed) {
				isClosed = true;
				stream.destroy();
				sink.onClosed(reason, unreachableServer);
			}
		};

		stream.on('data', (chunk: Uint8Array) => {
			if (isClosed) {
				return;
			}

			try {
				this.processLines(lines.push(chunk), sink, close);
			} catch (error) {
				close(`invalid line in the stream: ${getErrorMessage(error)}`);
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

	private processLines(lines: readonly string[], sink: AttemptSink, close: (reason: string, unreachableServer?: string) => void): void {
		const frames: Frame[] = [];
		let closing: {readonly error: string; readonly server?: string} | undefined;
		for (const line of lines) {
			const parsed = lineSchema.parse(JSON.parse(line));
			if ('error' in parsed) {
				closing = parsed;
			} else {
				frames.push(toFrame(parsed));
			}
		}

		if (frames.length > 0) {
			sink.onFrames(frames);
		}

		if (closing) {
			close(closing.error, closing.server);
		}
	}
}
