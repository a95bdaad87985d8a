import {createServer, type Server} from 'node:http';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {listen} from '../network/listen.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpFetch, type FetchOptions, type FetchResponse} from '../store/http-fetch.js';
import {type GossipTraffic} from './byte-budget.js';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';
import {createGossipProcedures, type GossipProcedures, type GossipReceiver} from './gossip-procedures.js';

/** Time for which an idle connection of another instance is kept; instances contact each other in random order. */
const idleConnectionMs = 60_000;
/** Approximate bytes of the heads of a request and its response. */
const callOverheadBytes = 500;
/** Largest message accepted; a whole server list and configuration fit in it. */
const maxMessageBytes = 16_000_000;

/** Sends and receives the calls between pipeline routers over tRPC and HTTP. */
export class GossipClients {
	private readonly clients = new Map<string, TRPCClient<GossipProcedures>>();
	private readonly http = new HttpFetch();
	private server?: Server;
	private calls = 0;
	private bytes = 0;

	/**
	@param timeout - milliseconds that a call may take
	*/
	constructor(private readonly timers: TimerService, private readonly timeout: number) {}

	/** Starts to answer other instances; rejects if the address is unavailable. */
	async listen(host: string, port: number, receiver: GossipReceiver): Promise<void> {
		this.server = createServer(createHTTPHandler({router: createGossipProcedures(receiver), maxBodySize: maxMessageBytes}));
		this.server.keepAliveTimeout = idleConnectionMs;
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

	/** Sends a message to an instance and returns its answer. Rejects if it does not answer. */
	async exchange(address: string, message: GossipMessage): Promise<GossipMessage> {
		return this.call(address, async (client, signal) => gossipMessageSchema.parse(await client.exchange.mutate(message, {signal})));
	}

	/** Removes the clients of all other addresses. */
	retain(addresses: ReadonlySet<string>): void {
		for (const address of this.clients.keys()) {
			if (!addresses.has(address)) {
				this.clients.delete(address);
			}
		}
	}

	private async call<Value>(address: string, operation: (client: TRPCClient<GossipProcedures>, signal: AbortSignal) => Promise<Value>): Promise<Value> {
		const client = this.clients.get(address) ?? createTRPCClient<GossipProcedures>({
			links: [httpLink({
				url: `http://${address}`, fetch: async (url, options) => this.fetch(String(url), {
					method: options?.method, headers: options?.headers, body: typeof options?.body === 'string' ? options.body : undefined, signal: options?.signal ?? undefined,
				}),
			})],
		});
		this.clients.set(address, client);
		return this.timers.runWithTimeout(this.timeout, async signal => operation(client, signal));
	}

	private async fetch(url: string, options: FetchOptions): Promise<FetchResponse> {
		const response = await this.http.fetch(url, options);
		const text = await response.text();
		this.calls++;
		this.bytes += callOverheadBytes + (options.body?.length ?? 0) + text.length;
		return response;
	}
}
