import {type AttemptFailure} from './attempt-failure.js';
import {type Exchange} from './exchange.js';
import {ResponseListener} from './response-listener.js';
import {type ResponseHead} from './response-head.js';

/** Passes what comes of an attempt to its exchange. */
export class ExchangeListener extends ResponseListener {
	constructor(private readonly exchange: Exchange) {
		super();
	}

	onHead(reply: ResponseHead): void {
		this.exchange.receiveHead(reply);
	}

	onData(chunk: Uint8Array): void {
		this.exchange.receiveData(chunk);
	}

	onEnd(): void {
		this.exchange.receiveEnd();
	}

	onFailure(failure: AttemptFailure): void {
		this.exchange.receiveFailure(failure);
	}
}
