import {createServer, type Server} from 'node:http';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {listen} from '../network/listen.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpFetch, type FetchOptions, type FetchResponse} from '../store/http-fetch.js';
import {type TunnelServer} from '../tunnels/tunnel-server.js';
import {type GossipTraffic} from './byte-budget.js';
import {CallFailure} from './call-failure.js';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';
import {
	createGossipProcedures, loanAnswerSchema, type GossipProcedures, type GossipReceiver, type LoanCall, type RetryLender,
} from './gossip-procedures.js';
import {type SelectionRequestHandler} from './selection-request-handler.js';

/** Time for which an idle connection of another instance is kept; instances contact each other in random order. */
const idleConnectionMs = 60_000;
/** Longest time that the transfer of a whole table may take over a slow link. */
const maxCallMs = 5000;
/** Approximate bytes of the heads of a request and its response. */
const callOverheadBytes = 500;
/** Largest message accepted; a whole server list and configuration fit in it. */
const maxMessageBytes = 16_000_000;

/** What answers the calls and connections of other instances. */
export type PeerReceivers = {
	readonly gossip: GossipReceiver;
	readonly retryLender: RetryLender;
	readonly tunnelServer: Pick<TunnelServer, 'accept'>;
	/** Answers operators; undefined if none are to be answered. */
	readonly selections?: SelectionRequestHandler;
};

/** Sends and receives the calls between pipeline routers over tRPC and HTTP. */
export class GossipClients {
	private readonly http = new HttpFetch();
	private server?: Server;
	private calls = 0;
	private bytes = 0;

	/**
	@param timeout - milliseconds that an instance may take to begin its answer, and between two parts of it
	*/
	constructor(private readonly timers: TimerService, private readonly timeout: number) {}

	/** Starts to answer other instances; rejects if the address is unavailable. */
	async listen(host: string, port: number, {gossip, retryLender, tunnelServer, selections}: PeerReceivers): Promise<void> {
		this.server = createServer(createHTTPHandler({
			router: createGossipProcedures(gossip, retryLender, selections),
			createContext: ({req: request}) => ({authorization: request.headers.authorization}),
			maxBodySize: maxMessageBytes,
		}));
		this.server.keepAliveTimeout = idleConnectionMs;
		this.server.on('connect', (request, socket) => {
			void tunnelServer.accept(request, socket);
		});
		return listen(this.server, host, port);
	}

	/** Stops accepting connections. */
	close(): void {
		this.server?.close();
	}

	/** All calls that this instance made. */
	get traffic(): GossipTraffic {
		return {calls: this.calls, bytes: this.bytes};
	}

	/** Sends a message to an instance and returns its answer. Rejects with CallFailure if no complete answer arrives. */
	async exchange(address: string, message: GossipMessage): Promise<GossipMessage> {
		const startedAt = this.timers.now();
		let receivedBytes = 0;
		try {
			return await this.timers.runWhileProgressing({start: this.timeout, pause: this.timeout, total: maxCallMs}, async (signal, recordProgress) => {
				const client = this.createClient(address, bytes => {
					receivedBytes += bytes;
					recordProgress();
				});
				return gossipMessageSchema.parse(await client.exchange.mutate(message, {signal}));
			});
		} catch (error) {
			throw new CallFailure(getErrorMessage(error), Math.round(this.timers.now() - startedAt), receivedBytes);
		}
	}

	/** Asks an instance for retries and returns how many it lent. Rejects if no answer arrives in time, or if the instance is of an earlier build and lends none. */
	async borrowRetries(address: string, call: LoanCall): Promise<number> {
		return this.timers.runWithTimeout(this.timeout, async signal => {
			const client = this.createClient(address, () => undefined);
			return loanAnswerSchema.parse(await client.lendRetries.mutate(call, {signal})).retries;
		});
	}

	private createClient(address: string, onData: (bytes: number) => void): TRPCClient<GossipProcedures> {
		return createTRPCClient<GossipProcedures>({
			links: [httpLink({
				url: `http://${address}`, fetch: async (url, options) => this.fetch(String(url), {
					method: options?.method,
					headers: options?.headers,
					body: typeof options?.body === 'string' ? options.body : undefined,
					signal: options?.signal ?? undefined,
					onData,
				}),
			})],
		});
	}

	private async fetch(url: string, options: FetchOptions): Promise<FetchResponse> {
		const response = await this.http.fetch(url, options);
		const text = await response.text();
		this.calls++;
		this.bytes += callOverheadBytes + (options.body?.length ?? 0) + text.length;
		return response;
	}
}
