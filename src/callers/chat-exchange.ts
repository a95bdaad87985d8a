import {type Context} from 'koa';
import {type Logger} from 'winston';
import {type FinishReason} from '../backends/finish-reason.js';
import {type CompletionHandle} from '../completions/completion-service.js';
import {type CompletionSink} from '../completions/completion-sink.js';
import {type Invariants} from '../observation/invariants.js';
import {type Failure} from '../results/failure.js';
import {type TimerService} from '../time/timer-service.js';
import {ChatCompletionFormatter} from './chat-completion-formatter.js';
import {type ChatRequest} from './chat-request.js';
import {createErrorBody} from './error-body.js';

/** What an exchange needs of the instance. */
export type ChatExchangeDependencies = {
	readonly timers: TimerService;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** Bytes that may wait for a slow caller before it is given up. */
const mostWaitingBytes = 4_000_000;

/** Passes one answer on to its caller, as server-sent events or whole. */
export class ChatExchange {
	private readonly answer: ChatCompletionFormatter;
	private readonly tokens: string[] = [];
	private count = 0;
	private isOpen = false;
	private isEnded = false;
	private ticket?: CompletionHandle;

	constructor(id: string, private readonly request: ChatRequest, private readonly exchange: Context, private readonly tools: ChatExchangeDependencies) {
		this.answer = new ChatCompletionFormatter(id, request, Math.floor(tools.timers.wallClock() / 1000));
	}

	/**
	Runs the draft and resolves when the caller has its answer or is gone.

	@param start - starts the draft with the sink
	@throws Failure where nothing was sent to the caller yet
	*/
	async run(start: (sink: CompletionSink) => CompletionHandle): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			const end = (failure?: Failure) => {
				this.isEnded = true;
				if (failure) {
					reject(failure);
				} else {
					resolve();
				}
			};

			this.exchange.res.once('close', () => {
				if (!this.isEnded) {
					this.ticket?.cancel();
				}
			});
			this.ticket = start({
				onTokens: tokens => {
					this.take(tokens);
				},
				onFinish: reason => {
					this.finish(reason);
					end();
				},
				onFail: failure => {
					end(this.fail(failure));
				},
			});
			if (this.exchange.res.destroyed) {
				this.ticket.cancel();
			}
		});
	}

	private take(tokens: readonly string[]): void {
		this.tools.invariants.check(!this.isEnded, 'an answer ends once', `${tokens.length} tokens after its end`);
		this.count += tokens.length;
		if (!this.request.isStreamed) {
			this.tokens.push(...tokens);
			return;
		}

		this.openStream();
		this.exchange.res.write(this.answer.tokens(tokens));
		if (this.exchange.res.writableLength > mostWaitingBytes) {
			this.tools.log.info('A caller reads too slowly and is given up.');
			this.exchange.res.destroy();
		}
	}

	private finish(reason: FinishReason): void {
		if (this.request.isStreamed) {
			this.openStream();
			this.exchange.res.end(this.answer.closing(reason, this.count));
		} else {
			this.exchange.body = this.answer.whole(this.tokens, reason);
		}
	}

	/** Ends a stream with an error event; returns the failure where the caller has had nothing yet. */
	private fail(failure: Failure): Failure | undefined {
		if (!this.isOpen) {
			return failure;
		}

		this.exchange.res.end(`data: ${JSON.stringify(createErrorBody(failure))}\n\n`);
		return undefined;
	}

	private openStream(): void {
		if (this.isOpen) {
			return;
		}

		this.isOpen = true;
		this.exchange.respond = false;
		const {res: response} = this.exchange;
		response.statusCode = 200;
		response.setHeader('content-type', 'text/event-stream; charset=utf-8');
		response.setHeader('cache-control', 'no-cache');
		response.flushHeaders();
		response.write(this.answer.opening());
	}
}
