import {createHash} from 'node:crypto';
import {FinishReason} from '../src/backends/finish-reason.js';

const shortestAnswer = 24;
const answerLengthRange = 40;
const tokenLength = 6;

/** The answer that every engine simulator computes for a prompt. It is deterministic, so that a caller can check each token. */
export type ExpectedAnswer = {
	readonly tokens: readonly string[];
	readonly finish: FinishReason;
};

/** Computes the token at an index of the answer to a prompt. */
export function computeToken(prompt: string, index: number): string {
	return ` ${createHash('sha1').update(`${index}:${prompt}`).digest('hex').slice(0, tokenLength)}`;
}

/** Computes the number of tokens after which the simulated model stops. `[N tokens]` in the prompt sets it; otherwise it depends on a hash of the prompt. */
export function computeAnswerLength(prompt: string): number {
	const requestedLength = /\[(?<count>\d+) tokens\]/v.exec(prompt)?.groups?.count;
	return requestedLength === undefined ? shortestAnswer + (createHash('sha1').update(prompt).digest().readUInt16BE() % answerLengthRange) : Number(requestedLength);
}

/** Determines why the answer ends after the token at an index; undefined if it continues. */
export function findFinishReason({prompt, maximumTokens}: {readonly prompt: string; readonly maximumTokens: number}, index: number): FinishReason | undefined {
	const length = computeAnswerLength(prompt);
	if (index + 1 < Math.min(length, maximumTokens)) {
		return undefined;
	}

	return length <= maximumTokens ? FinishReason.Stop : FinishReason.Length;
}

/** Computes the complete answer to a prompt. */
export function computeExpectedAnswer(prompt: string, maximumTokens: number): ExpectedAnswer {
	const tokens: string[] = [];
	let finish: FinishReason | undefined;
	while (finish === undefined) {
		finish = findFinishReason({prompt, maximumTokens}, tokens.length);
		tokens.push(computeToken(prompt, tokens.length));
	}

	return {tokens, finish};
}

const prime = 65_599;
const modulus = 4_294_967_291;

/** Applies layers to the state of a token. The result depends on each layer and on their order, so that a skipped, repeated or misplaced layer is detected. */
export function runLayers(state: number, firstLayer: number, endLayer: number): number {
	let result = state;
	for (let layer = firstLayer; layer < endLayer; layer++) {
		result = ((result * prime) + layer + 1) % modulus;
	}

	return result;
}
