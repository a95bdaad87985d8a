import {type FinishReason} from '../backends/finish-reason.js';
import {type ChatRequest} from './chat-request.js';

/* eslint-disable @typescript-eslint/naming-convention, @eslint-community/eslint-comments/disable-enable-pair -- field names of OpenAI's API */

/** Formats one chat completion in OpenAI's format, as a single JSON body or as server-sent events. */
export class ChatCompletionFormatter {
	private readonly prefix: string;

	/**
	@param id - id of the request
	@param created - seconds since 1970
	*/
	constructor(private readonly id: string, private readonly request: ChatRequest, private readonly created: number) {
		const fields = JSON.stringify({
			id, object: 'chat.completion.chunk', created, model: request.model,
		});
		this.prefix = `data: ${fields.slice(0, -1)},"choices":`;
	}

	/** Returns the first event of a stream. */
	formatStart(): string {
		return `${this.prefix}[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`;
	}

	/** Returns the event for a batch of tokens. */
	formatTokens(tokens: readonly string[]): string {
		return `${this.prefix}[{"index":0,"delta":{"content":${JSON.stringify(tokens.join(''))}},"finish_reason":null}]}\n\n`;
	}

	/** Returns the last events of a stream: the finish reason, the token usage if the caller asked for it, and the end marker. */
	formatEnd(reason: FinishReason, tokenCount: number): string {
		const usage = this.request.isUsageIncluded ? `${this.prefix}[],"usage":${JSON.stringify(this.createUsage(tokenCount))}}\n\n` : '';
		return `${this.prefix}[{"index":0,"delta":{},"finish_reason":"${reason}"}]}\n\n${usage}data: [DONE]\n\n`;
	}

	/** Returns the body of a response that is not streamed. */
	createBody(tokens: readonly string[], reason: FinishReason): Record<string, unknown> {
		return {
			id: this.id,
			object: 'chat.completion',
			created: this.created,
			model: this.request.model,
			choices: [{index: 0, message: {role: 'assistant', content: tokens.join('')}, finish_reason: reason}],
			usage: this.createUsage(tokens.length),
		};
	}

	private createUsage(tokenCount: number): Record<string, unknown> {
		return {
			prompt_tokens: this.request.promptTokens,
			completion_tokens: tokenCount,
			total_tokens: this.request.promptTokens + tokenCount,
		};
	}
}
