import * as z from 'zod';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';

const maxTokens = 8192;
const defaultTokens = 256;
/** Estimate used to count prompt tokens without a tokenizer. */
const charactersPerToken = 4;

const contentSchema = z.union([
	z.string(),
	z.array(z.looseObject({type: z.literal('text'), text: z.string()})).transform(parts => parts.map(({text}) => text).join('')),
]);

const tokenCount = z.number().int().min(1).max(maxTokens);

/* eslint-disable @typescript-eslint/naming-convention -- field names of OpenAI's API */
const bodySchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	max_tokens: tokenCount.nullish(),
	max_completion_tokens: tokenCount.nullish(),
	n: z.literal(1, 'only one choice per request is supported').nullish(),
});
/* eslint-enable @typescript-eslint/naming-convention */

/** A parsed chat completion request. */
export type ChatRequest = {
	readonly model: string;
	readonly prompt: string;
	/** Estimated from the length of the prompt. */
	readonly promptTokens: number;
	/** Largest number of tokens to generate. */
	readonly maximumTokens: number;
	readonly isStreamed: boolean;
	/** Whether a stream ends with an event that reports the token usage. */
	readonly isUsageIncluded: boolean;
};

/**
Parses a request body as JSON.

@throws Failure BodyMalformed
*/
export function parseJson(body: string): unknown {
	try {
		return JSON.parse(body) as unknown;
	} catch {
		throw new Failure(ResultCode.BodyMalformed, 'the body is not JSON');
	}
}

/**
Parses a chat completion request in OpenAI's format.

@throws Failure BodyMalformed, with a message that names each invalid field
*/
export function parseChatRequest(body: string): ChatRequest {
	const result = bodySchema.safeParse(parseJson(body));
	if (!result.success) {
		const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
		throw new Failure(ResultCode.BodyMalformed, problems.join('; '));
	}

	const {data} = result;
	const prompt = data.messages.map(({role, content}) => `${role}: ${content}`).join('\n');
	return {
		model: data.model,
		prompt,
		promptTokens: Math.ceil(prompt.length / charactersPerToken),
		maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? defaultTokens,
		isStreamed: data.stream ?? false,
		isUsageIncluded: data.stream_options?.include_usage ?? false,
	};
}
