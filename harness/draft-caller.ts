import got from 'got';
import {expectedAnswer} from '../stand-ins/answers.js';

/** How a draft ended for its caller. */
export enum DraftEnd {
	Whole = 'whole',
	/** Refused before the first token, or ended with an error event. */
	Refused = 'refused',
	Interrupted = 'interrupted',
	/** The caller closed the connection on purpose. */
	Abandoned = 'abandoned',
	/** The connection failed without an answer. */
	ConnectionLost = 'connection_lost',
	/** The answer looked whole and was not, or had tokens of another. */
	Wrong = 'wrong',
}

/** What came of a draft. */
export type DraftResult = {
	readonly end: DraftEnd;
	/** Name of the result code of a refusal. */
	readonly code: string;
	readonly execution: string;
	readonly retryAfter: number;
	/** Tokens received. */
	readonly tokens: number;
	/** What is wrong with the answer. */
	readonly fault: string;
	/** Monotonic times at which text arrived. */
	readonly arrivals: readonly number[];
};

/** What is asked for. */
export type DraftQuestion = {
	readonly callers: string;
	readonly key: string;
	readonly model: string;
	readonly prompt: string;
	readonly maximumTokens: number;
	/** Tokens after which the caller goes away; undefined where it stays. */
	readonly abandonAfter?: number;
	readonly headers?: Readonly<Record<string, string>>;
};

type ChunkData = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}; readonly finish_reason: string | null}>; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly error?: {readonly code: string; readonly execution: string; readonly retryAfterSeconds?: number; readonly message: string};
};

const requestTimeoutMs = 90_000;

/** Reads one answer as it streams in, and checks it against the stand-ins' answer to the prompt. */
class CompletionReader {
	text = '';
	finish = '';
	isDone = false;
	error?: ChunkData['error'];
	readonly arrivals: number[] = [];
	private partialEvent = '';

	constructor(private readonly question: DraftQuestion) {}

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

	createResult(isLost: boolean, isAbandoned: boolean): DraftResult {
		const fault = this.findError();
		return {
			end: this.determineOutcome(fault, isLost, isAbandoned),
			code: this.error?.code ?? '',
			execution: this.error?.execution ?? '',
			retryAfter: this.error?.retryAfterSeconds ?? 0,
			tokens: this.tokens,
			fault,
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

	private determineOutcome(fault: string, isLost: boolean, isAbandoned: boolean): DraftEnd {
		if (fault !== '') {
			return DraftEnd.Wrong;
		}

		if (this.isDone) {
			return DraftEnd.Whole;
		}

		if (isAbandoned) {
			return DraftEnd.Abandoned;
		}

		if (this.error) {
			return this.tokens > 0 ? DraftEnd.Interrupted : DraftEnd.Refused;
		}

		return isLost ? DraftEnd.ConnectionLost : DraftEnd.Wrong;
	}

	private findError(): string {
		const expected = expectedAnswer(`user: ${this.question.prompt}`, this.question.maximumTokens);
		const expectedText = expected.tokens.join('');
		if (!expectedText.startsWith(this.text)) {
			return `foreign, repeated or missing tokens after ${this.tokens} of ${expected.tokens.length}`;
		}

		if (this.isDone && this.text !== expectedText) {
			return `the answer ended after ${this.tokens} of ${expected.tokens.length} tokens as if it were whole`;
		}

		return this.isDone && this.finish !== String(expected.finish) ? `the answer ended with ${this.finish}` : '';
	}
}

/** Asks for a draft and reads its stream to the end. */
export async function askForDraft(question: DraftQuestion): Promise<DraftResult> {
	const reader = new CompletionReader(question);
	let isAbandoned = false;
	const stream = got.stream.post(`http://${question.callers}/v1/chat/completions`, {
		json: {
			model: question.model,
			stream: true,
			max_completion_tokens: question.maximumTokens, // eslint-disable-line @typescript-eslint/naming-convention
			messages: [{role: 'user', content: question.prompt}],
		},
		headers: {authorization: `Bearer ${question.key}`, ...question.headers},
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

			if (question.abandonAfter !== undefined && reader.tokens >= question.abandonAfter) {
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
