import got from 'got';
import {computeExpectedAnswer} from '../simulators/answers.js';

/** How a streamed completion ended for its caller. */
export enum CompletionOutcome {
	Complete = 'whole',
	/** Ended with an error before the first token. */
	Refused = 'refused',
	/** Ended with an error event after at least one token. */
	Interrupted = 'interrupted',
	/** The caller closed the connection on purpose. */
	Abandoned = 'abandoned',
	/** The connection failed before the answer ended. */
	ConnectionLost = 'connection_lost',
	/** The answer ended as if complete but lacked tokens, or it had tokens of another answer. */
	Incorrect = 'wrong',
}

/** Result of a streamed completion. */
export type CompletionResult = {
	readonly outcome: CompletionOutcome;
	/** Result code of an error; empty if there was none. */
	readonly code: string;
	readonly execution: string;
	readonly retryAfter: number;
	/** Number of tokens received. */
	readonly tokens: number;
	/** How the answer differs from the expected one; empty if it does not. */
	readonly mismatch: string;
	/** Monotonic times in milliseconds at which text arrived. */
	readonly arrivals: readonly number[];
};

/** A completion to request. */
export type CompletionCall = {
	/** Address of the entry instance. */
	readonly callerAddress: string;
	readonly key: string;
	readonly model: string;
	readonly prompt: string;
	readonly maximumTokens: number;
	/** Number of tokens after which the caller closes the connection; undefined to read to the end. */
	readonly abandonAfter?: number;
	readonly headers?: Readonly<Record<string, string>>;
};

type ChunkData = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}; readonly finish_reason: string | null}>; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly error?: {readonly code: string; readonly execution: string; readonly retryAfterSeconds?: number; readonly message: string};
};

const requestTimeoutMs = 90_000;

/** Parses one answer as it streams in, and compares it with the answer that the engine simulators compute for the prompt. */
class CompletionReader {
	text = '';
	finish = '';
	isDone = false;
	error?: ChunkData['error'];
	readonly arrivals: number[] = [];
	private partialEvent = '';

	constructor(private readonly call: CompletionCall) {}

	get tokens(): number {
		return this.text.split(' ').length - 1;
	}

	addChunk(chunk: string): void {
		const events = (this.partialEvent + chunk).split('\n\n');
		this.partialEvent = events.pop() ?? '';
		for (const event of events) {
			this.addEvent(event.replace(/^data: /v, ''));
		}
	}

	createResult(isLost: boolean, isAbandoned: boolean): CompletionResult {
		const fault = this.findError();
		return {
			outcome: this.determineOutcome(fault, isLost, isAbandoned),
			code: this.error?.code ?? '',
			execution: this.error?.execution ?? '',
			retryAfter: this.error?.retryAfterSeconds ?? 0,
			tokens: this.tokens,
			mismatch: fault,
			arrivals: this.arrivals,
		};
	}

	private addEvent(data: string): void {
		if (data === '[DONE]') {
			this.isDone = true;
			return;
		}

		const parsed = JSON.parse(data) as ChunkData; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.error = parsed.error ?? this.error;
		const choice = parsed.choices?.[0];
		if (choice?.delta.content) {
			this.text += choice.delta.content;
			this.arrivals.push(performance.now());
		}

		this.finish = choice?.finish_reason ?? this.finish;
	}

	private determineOutcome(fault: string, isLost: boolean, isAbandoned: boolean): CompletionOutcome {
		if (fault !== '') {
			return CompletionOutcome.Incorrect;
		}

		if (this.isDone) {
			return CompletionOutcome.Complete;
		}

		if (isAbandoned) {
			return CompletionOutcome.Abandoned;
		}

		if (this.error) {
			return this.tokens > 0 ? CompletionOutcome.Interrupted : CompletionOutcome.Refused;
		}

		return isLost ? CompletionOutcome.ConnectionLost : CompletionOutcome.Incorrect;
	}

	private findError(): string {
		const expected = computeExpectedAnswer(`user: ${this.call.prompt}`, this.call.maximumTokens);
		const expectedText = expected.tokens.join('');
		if (!expectedText.startsWith(this.text)) {
			return `unexpected, repeated or missing tokens after ${this.tokens} of ${expected.tokens.length}`;
		}

		if (this.isDone && this.text !== expectedText) {
			return `the answer ended after ${this.tokens} of ${expected.tokens.length} tokens as if it were complete`;
		}

		return this.isDone && this.finish !== String(expected.finish) ? `the answer ended with finish reason ${this.finish}` : '';
	}
}

/** Requests a streamed completion and reads it to the end. Does not reject: failures are in the result. */
export async function requestCompletion(call: CompletionCall): Promise<CompletionResult> {
	const reader = new CompletionReader(call);
	let isAbandoned = false;
	const stream = got.stream.post(`http://${call.callerAddress}/v1/chat/completions`, {
		json: {
			model: call.model,
			stream: true,
			max_completion_tokens: call.maximumTokens, // eslint-disable-line @typescript-eslint/naming-convention
			messages: [{role: 'user', content: call.prompt}],
		},
		headers: {authorization: `Bearer ${call.key}`, ...call.headers},
		retry: {limit: 0},
		throwHttpErrors: false,
		timeout: {request: requestTimeoutMs},
	});
	stream.setEncoding('utf8');
	try {
		let isEventStream = true;
		let body = '';
		stream.once('response', (response: {headers: Record<string, string>}) => {
			isEventStream = response.headers['content-type'].startsWith('text/event-stream');
		});
		for await (const chunk of stream) {
			const text = String(chunk);
			if (isEventStream) {
				reader.addChunk(text);
			} else {
				body += text;
			}

			if (call.abandonAfter !== undefined && reader.tokens >= call.abandonAfter) {
				isAbandoned = true;
				stream.destroy();
				break;
			}
		}

		if (!isEventStream) {
			reader.addChunk(`data: ${body}\n\n`);
		}

		return reader.createResult(false, isAbandoned);
	} catch {
		return reader.createResult(true, isAbandoned);
	}
}
