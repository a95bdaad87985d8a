import {type Failure} from '../results/failure.js';
import {type CallerReply} from './caller-reply.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {type Exchange} from './exchange.js';
import {PlainExchange} from './plain/plain-exchange.js';
import {type PlainExchangeDependencies} from './plain/plain-exchange-dependencies.js';
import {type RelayRequest} from './relay-request.js';
import {StreamExchange} from './streams/stream-exchange.js';
import {type StreamExchangeDependencies} from './streams/stream-exchange-dependencies.js';

/** Starts exchanges and tracks those in progress. */
export class ExchangeRegistry {
	private readonly plainExchanges = new Set<Exchange>();
	private readonly streamExchanges = new Set<StreamExchange>();

	constructor(
		private readonly dependencies: ExchangeDependencies,
		private readonly plainDependencies: PlainExchangeDependencies,
		private readonly streamDependencies: StreamExchangeDependencies,
	) {}

	/** Number of exchanges in progress. */
	get size(): number {
		return this.plainExchanges.size + this.streamExchanges.size;
	}

	/** Stream exchanges in progress. */
	get streams(): ReadonlySet<StreamExchange> {
		return this.streamExchanges;
	}

	/** Starts the exchange of an accepted request. */
	start(request: RelayRequest, reply: CallerReply): void {
		this.dependencies.retryBudgets.forService(request.service.name).recordRequest(this.dependencies.timers.now());
		const {engine} = request.service;
		if (engine) {
			const exchange = new StreamExchange(this.dependencies, request, reply, {...this.streamDependencies, model: engine});
			this.streamExchanges.add(exchange);
			exchange.start(() => {
				this.streamExchanges.delete(exchange);
			});
			return;
		}

		const exchange = new PlainExchange(this.dependencies, request, reply, this.plainDependencies);
		this.plainExchanges.add(exchange);
		exchange.start(() => {
			this.plainExchanges.delete(exchange);
		});
	}

	/** Ends the exchanges of a quarantined request, or with a quarantined prompt part, that nothing clears yet. */
	endQuarantined(part: string, refusal: Failure): void {
		for (const exchange of [...this.plainExchanges, ...this.streamExchanges]) {
			const {fingerprint, promptParts} = exchange.request;
			if (fingerprint === part || promptParts.includes(part)) {
				exchange.endQuarantined(refusal);
			}
		}
	}

	/** Aborts all exchanges when the process shuts down. */
	abortAll(reason: string): void {
		for (const exchange of [...this.plainExchanges, ...this.streamExchanges]) {
			exchange.abort(reason);
		}
	}
}
