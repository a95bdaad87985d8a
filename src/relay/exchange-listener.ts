import {type AttemptFailure} from './attempt-failure.js';
import {type PlainExchange} from './plain-exchange.js';
import {type ResponseHead} from './response-head.js';
import {ResponseListener} from './response-listener.js';

/** Forwards the events of an attempt to its exchange. */
export class ExchangeListener extends ResponseListener {
	constructor(private readonly exchange: PlainExchange) {
		super();
	}

	onHead(head: ResponseHead): void {
		this.exchange.receiveHead(head);
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
