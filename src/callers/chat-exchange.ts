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

/** Constructor arguments of `ChatExchange`. */
export type ChatExchangeDependencies = {
	readonly timers: TimerService;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** Number of unsent bytes above which the connection to a slow caller is closed. */
const maxBufferedBytes = 4_000_000;

/** Sends one completion to its caller, as server-sent events or as a single body. */
export class ChatExchange {
	private readonly formatter: ChatCompletionFormatter;
	private readonly tokens: string[] = [];
	private tokenCount = 0;
	private isStreamOpen = false;
	private isEnded = false;
	private handle?: CompletionHandle;

	constructor(id: string, private readonly request: ChatRequest, private readonly context: Context, private readonly dependencies: ChatExchangeDependencies) {
		this.formatter = new ChatCompletionFormatter(id, request, Math.floor(dependencies.timers.wallClock() / 1000));
	}

	/**
	Runs the completion. Resolves when the response is complete or the caller has disconnected; a disconnect cancels the completion.

	@param start - starts the completion, which sends its events to the sink
	@throws Failure if the completion fails before anything was sent to the caller
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

			this.context.res.once('close', () => {
				if (!this.isEnded) {
					this.handle?.cancel();
				}
			});
			this.handle = start({
				onTokens: tokens => {
					this.sendTokens(tokens);
				},
				onFinish: reason => {
					this.finish(reason);
					end();
				},
				onFail: failure => {
					end(this.fail(failure));
				},
			});
			if (this.context.res.destroyed) {
				this.handle.cancel();
			}
		});
	}

	private sendTokens(tokens: readonly string[]): void {
		this.dependencies.invariants.check(!this.isEnded, 'an answer ends once', `${tokens.length} tokens after its end`);
		this.tokenCount += tokens.length;
		if (!this.request.isStreamed) {
			this.tokens.push(...tokens);
			return;
		}

		this.openStream();
		this.context.res.write(this.formatter.formatTokens(tokens));
		if (this.context.res.writableLength > maxBufferedBytes) {
			this.dependencies.log.info('The connection to a caller was closed because the caller reads too slowly.');
			this.context.res.destroy();
		}
	}

	private finish(reason: FinishReason): void {
		if (this.request.isStreamed) {
			this.openStream();
			this.context.res.end(this.formatter.formatEnd(reason, this.tokenCount));
		} else {
			this.context.body = this.formatter.createBody(this.tokens, reason);
		}
	}

	/** Ends an open stream with an error event. Returns the failure if nothing was sent yet, so that it becomes an error response. */
	private fail(failure: Failure): Failure | undefined {
		if (!this.isStreamOpen) {
			return failure;
		}

		this.context.res.end(`data: ${JSON.stringify(createErrorBody(failure))}\n\n`);
		return undefined;
	}

	private openStream(): void {
		if (this.isStreamOpen) {
			return;
		}

		this.isStreamOpen = true;
		this.context.respond = false;
		const {res: response} = this.context;
		response.statusCode = 200;
		response.setHeader('content-type', 'text/event-stream; charset=utf-8');
		response.setHeader('cache-control', 'no-cache');
		response.flushHeaders();
		response.write(this.formatter.formatStart());
	}
}
