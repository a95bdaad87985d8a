import {RequestKind} from '../../src/catalog/request-kind.js';
import {type Route} from '../../src/catalog/route.js';
import {PlainServerSelector} from '../../src/pipelines/plain-server-selector.js';
import {type Attempt} from '../../src/relay/attempt.js';
import {type BackendClient} from '../../src/relay/backend-client.js';
import {PlainExchange} from '../../src/relay/plain/plain-exchange.js';
import {type ResponseListener} from '../../src/relay/response-listener.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ExchangeFixture, RecordingReply, sampleStreamRoute} from './exchange-fixture.js';
import {sampleServer} from './sample-fleet.js';
import {seed} from './seed.js';

/** The route of a lookup, which may be executed more than once. */
export const lookupRoute = {
	...sampleStreamRoute, kind: RequestKind.Idempotent, isResumable: false, targets: [{service: 'records', weight: 1}],
};

/** A recording reply whose caller can read slowly. */
class LookupReply extends RecordingReply {
	/** Whether the caller reads too slowly. */
	isSlow = false;
	/** Lets the caller accept more data. */
	drain!: () => void;

	override write(bytes: Uint8Array): boolean {
		super.write(bytes);
		return !this.isSlow;
	}

	override onDrain(listener?: () => void): void {
		this.drain = listener!;
	}
}

/** A fixture with the exchange of one lookup. */
export class LookupFixture extends ExchangeFixture {
	override readonly reply = new LookupReply();
	readonly exchange: PlainExchange;
	/** Indexes in `sent` of the attempts that the exchange paused. */
	readonly paused: number[] = [];
	/** Indexes in `sent` of the attempts that the exchange resumed. */
	readonly resumed: number[] = [];

	constructor(connectionShare: number, ids: readonly string[], route: Route) {
		super();
		const {directory, serverHealth, backpressure, load} = this;
		directory.applyReading({servers: ids.map(id => sampleServer(id, '', undefined, {service: 'records'})), requestedAt: 0, mayBeIncomplete: false});
		this.exchange = new PlainExchange({...this.dependencies, client: this.createClient()}, this.createRequest(route), this.reply, {
			selector: new PlainServerSelector({
				directory, serverHealth, backpressure, load, random: new RandomSource(seed()),
			}),
			computeConnectionShare: () => connectionShare,
			limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
		});
	}

	/** Requests in progress on all servers, as the load counts them. */
	get runningRequests(): number {
		return this.directory.all().map(server => this.load.getRequests(server)).reduce((sum, requests) => sum + requests, 0);
	}

	private createClient(): BackendClient {
		return { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			send: (attempt: Attempt, listener: ResponseListener) => {
				const index = this.sent.length;
				return {
					...this.dependencies.client.send(attempt, listener),
					pause: () => {
						this.paused.push(index);
					},
					resume: () => {
						this.resumed.push(index);
					},
				};
			},
		} as unknown as BackendClient;
	}
}

/** Starts the exchange of a lookup; servers have the given ids. */
export function startLookup(connectionShare: number, ids: readonly string[] = ['a'], maxExecutions = lookupRoute.maxExecutions, kind = RequestKind.Idempotent): LookupFixture {
	const fixture = new LookupFixture(connectionShare, ids, {...lookupRoute, maxExecutions, kind});
	fixture.exchange.start(() => undefined);
	return fixture;
}
