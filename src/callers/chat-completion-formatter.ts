import {type FinishReason} from '../backends/finish-reason.js';
import {type ChatRequest} from './chat-request.js';

/* eslint-disable @typescript-eslint/naming-convention, @eslint-community/eslint-comments/disable-enable-pair -- names of OpenAI's format */

/** Writes one answer in OpenAI's format, whole or as server-sent events. */
export class ChatCompletionFormatter {
	private readonly prefix: string;

	/**
	@param id - of the request
	@param created - seconds since 1970
	*/
	constructor(private readonly id: string, private readonly request: ChatRequest, private readonly created: number) {
		const head = JSON.stringify({
			id, object: 'chat.completion.chunk', created, model: request.model,
		});
		this.prefix = `data: ${head.slice(0, -1)},"choices":`;
	}

	/** The event that opens a stream. */
	opening(): string {
		return `${this.prefix}[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`;
	}

	/** The event for tokens that arrived together. */
	tokens(tokens: readonly string[]): string {
		return `${this.prefix}[{"index":0,"delta":{"content":${JSON.stringify(tokens.join(''))}},"finish_reason":null}]}\n\n`;
	}

	/** The events that close a whole answer. */
	closing(reason: FinishReason, tokens: number): string {
		const usage = this.request.isUsageIncluded ? `${this.prefix}[],"usage":${JSON.stringify(this.usage(tokens))}}\n\n` : '';
		return `${this.prefix}[{"index":0,"delta":{},"finish_reason":"${reason}"}]}\n\n${usage}data: [DONE]\n\n`;
	}

	/** The body of an answer that is not streamed. */
	whole(tokens: readonly string[], reason: FinishReason): Record<string, unknown> {
		return {
			id: this.id,
			object: 'chat.completion',
			created: this.created,
			model: this.request.model,
			choices: [{index: 0, message: {role: 'assistant', content: tokens.join('')}, finish_reason: reason}],
			usage: this.usage(tokens.length),
		};
	}

	private usage(tokens: number): Record<string, unknown> {
		return {
			prompt_tokens: this.request.promptTokens,
			completion_tokens: tokens,
			total_tokens: this.request.promptTokens + tokens,
		};
	}
}
