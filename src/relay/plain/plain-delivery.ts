import {type CallerReply} from '../caller-reply.js';
import {type PlainAttempt} from './plain-attempt.js';
import {type PlainAttempts} from './plain-attempts.js';

/** Passes the response of one attempt on to the caller, and keeps a response that may be passed on if the attempts beside it have none. */
export class PlainDelivery {
	private chosenAttempt?: PlainAttempt;
	private fallback?: PlainAttempt;

	constructor(private readonly reply: CallerReply, private readonly attempts: PlainAttempts) {}

	/** The attempt whose response is passed on; undefined until there is one. */
	get chosen(): PlainAttempt | undefined {
		return this.chosenAttempt;
	}

	/** The response of a dropped attempt that is passed on if nothing better arrives; undefined once a response is chosen. */
	get available(): PlainAttempt | undefined {
		return this.chosenAttempt ? undefined : this.fallback;
	}

	/** A dropped attempt whose response may be a whole answer. */
	get answer(): PlainAttempt | undefined {
		return this.fallback?.isError === false ? this.fallback : undefined;
	}

	/** Whether a dropped attempt has a response that may be passed on, an error included. */
	get hasFallback(): boolean {
		return this.fallback !== undefined;
	}

	/** Chooses between a response that can be passed on and an earlier one; an answer goes before an error. */
	selectFallback(passable: PlainAttempt | undefined): PlainAttempt | undefined {
		return this.answer ?? passable ?? this.fallback;
	}

	/** Keeps a response in case the attempts beside it have none. */
	keep(fallback: PlainAttempt | undefined): void {
		this.fallback = fallback;
	}

	/** Drops an error response: after a retry it is not passed on any more. */
	forgetError(): void {
		this.fallback = this.answer;
	}

	/** Sends the head and the buffered part of the body to the caller; from then on no other attempt can take its place. */
	choose(attempt: PlainAttempt): void {
		this.chosenAttempt = attempt;
		this.attempts.cancel(this.attempts.all.filter(other => other !== attempt));
		const {status, headers} = attempt.head!;
		this.reply.begin(status, headers);
		const body = attempt.response.take();
		if (body.length > 0) {
			this.forward(body);
		}
	}

	/** Passes on a part of the chosen response, which is paused if its caller does not keep up. */
	forward(chunk: Uint8Array): void {
		if (this.reply.write(chunk)) {
			return;
		}

		for (const transmission of this.attempts.transmissions) {
			transmission.pause();
		}
	}
}
