import {createHash} from 'node:crypto';
import {FinishReason} from '../src/backends/finish-reason.js';

const shortestAnswer = 24;
const answerLengthRange = 40;
const tokenLength = 6;

/** The answer that every stand-in engine gives to a prompt, so that a caller can check each token. */
export type ExpectedAnswer = {
	readonly tokens: readonly string[];
	readonly finish: FinishReason;
};

/** The token at a position of the answer to a prompt. */
export function computeToken(prompt: string, index: number): string {
	return ` ${createHash('sha1').update(`${index}:${prompt}`).digest('hex').slice(0, tokenLength)}`;
}

/** Number of tokens after which the stand-in model ends its answer; `[N tokens]` in the prompt sets it. */
export function computeAnswerLength(prompt: string): number {
	const requestedLength = /\[(?<count>\d+) tokens\]/v.exec(prompt)?.groups?.count;
	return requestedLength === undefined ? shortestAnswer + (createHash('sha1').update(prompt).digest().readUInt16BE() % answerLengthRange) : Number(requestedLength);
}

/** Why the answer ends with a token; undefined where it goes on. */
export function findFinishReason({prompt, maximumTokens}: {readonly prompt: string; readonly maximumTokens: number}, index: number): FinishReason | undefined {
	const length = computeAnswerLength(prompt);
	if (index + 1 < Math.min(length, maximumTokens)) {
		return undefined;
	}

	return length <= maximumTokens ? FinishReason.Stop : FinishReason.Length;
}

/** The whole answer to a prompt. */
export function expectedAnswer(prompt: string, maximumTokens: number): ExpectedAnswer {
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

/** What layers make of a token's state; order and number of layers show in the result. */
export function runLayers(state: number, firstLayer: number, endLayer: number): number {
	let result = state;
	for (let layer = firstLayer; layer < endLayer; layer++) {
		result = ((result * prime) + layer + 1) % modulus;
	}

	return result;
}
