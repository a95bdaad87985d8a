import {type CallerReply} from './caller-reply.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {type Exchange} from './exchange.js';
import {PlainExchange, type PlainExchangeDependencies} from './plain-exchange.js';
import {type RelayRequest} from './relay-request.js';
import {StreamExchange} from './stream-exchange.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';

/** Begins exchanges and knows those under way. */
export class ExchangeRegistry {
	private readonly plain = new Set<Exchange>();
	private readonly running = new Set<StreamExchange>();

	constructor(
		private readonly parts: ExchangeDependencies,
		private readonly plainParts: PlainExchangeDependencies,
		private readonly streamParts: StreamExchangeDependencies,
	) {}

	/** Exchanges under way. */
	get size(): number {
		return this.plain.size + this.running.size;
	}

	/** Streams under way. */
	get streams(): ReadonlySet<StreamExchange> {
		return this.running;
	}

	/** Begins the exchange of an accepted request. */
	start(request: RelayRequest, reply: CallerReply): void {
		this.parts.retryBudgets.forService(request.service.name).recordRequest(this.parts.timers.now());
		const {engine} = request.service;
		if (engine) {
			const exchange = new StreamExchange(this.parts, request, reply, {...this.streamParts, model: engine});
			this.running.add(exchange);
			exchange.start(() => {
				this.running.delete(exchange);
			});
			return;
		}

		const exchange = new PlainExchange(this.parts, request, reply, this.plainParts);
		this.plain.add(exchange);
		exchange.start(() => {
			this.plain.delete(exchange);
		});
	}

	/** Breaks off all exchanges, as the process ends. */
	abortAll(reason: string): void {
		for (const exchange of [...this.plain, ...this.running]) {
			exchange.abort(reason);
		}
	}
}
