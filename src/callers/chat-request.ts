import * as z from 'zod';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';

const mostTokens = 8192;
const defaultTokens = 256;
const charactersPerToken = 4;

const contentSchema = z.union([
	z.string(),
	z.array(z.looseObject({type: z.literal('text'), text: z.string()})).transform(parts => parts.map(({text}) => text).join('')),
]);

const tokenCount = z.number().int().min(1).max(mostTokens);

/* eslint-disable @typescript-eslint/naming-convention -- names of OpenAI's format */
const bodySchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	max_tokens: tokenCount.nullish(),
	max_completion_tokens: tokenCount.nullish(),
	n: z.literal(1, 'only one answer a request is offered').nullish(),
});
/* eslint-enable @typescript-eslint/naming-convention */

/** A request for a chat completion. */
export type ChatRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly maximumTokens: number;
	readonly isStreamed: boolean;
	readonly isUsageIncluded: boolean;
};

/** Parses JSON of a caller. Throws Failure BodyMalformed. */
export function parseJson(body: string): unknown {
	try {
		return JSON.parse(body) as unknown;
	} catch {
		throw new Failure(ResultCode.BodyMalformed, 'the body is not JSON');
	}
}

/** Reads a request in OpenAI's format. Throws Failure BodyMalformed that names each field in error. */
export function readChatRequest(body: string): ChatRequest {
	const reading = bodySchema.safeParse(parseJson(body));
	if (!reading.success) {
		const problems = reading.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
		throw new Failure(ResultCode.BodyMalformed, problems.join('; '));
	}

	const {data} = reading;
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
