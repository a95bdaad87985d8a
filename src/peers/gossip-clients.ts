import {createServer, type Server} from 'node:http';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {listen} from '../network/listen.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpFetch} from '../store/http-fetch.js';
import {instanceSnapshotSchema, type InstanceSnapshot} from './instance-snapshot.js';
import {type GossipMessage} from './gossip-message.js';
import {createGossipProcedures, type GossipProcedures, type GossipReceiver} from './gossip-procedures.js';

/** Sends and receives the calls between pipeline routers over tRPC and HTTP. */
export class GossipClients {
	private readonly clients = new Map<string, TRPCClient<GossipProcedures>>();
	private readonly http = new HttpFetch();
	private server?: Server;

	/**
	@param timeout - milliseconds that a call may take
	*/
	constructor(private readonly timers: TimerService, private readonly timeout: number) {}

	/** Starts to answer other instances; rejects if the address is unavailable. */
	async listen(host: string, port: number, receiver: GossipReceiver): Promise<void> {
		this.server = createServer(createHTTPHandler({router: createGossipProcedures(receiver)}));
		return listen(this.server, host, port);
	}

	/** Stops accepting connections. */
	close(): void {
		this.server?.close();
	}

	/** Sends a message to an instance. Rejects if it does not answer. */
	async send(address: string, message: GossipMessage): Promise<void> {
		await this.call(address, async (client, signal) => client.tell.mutate(message, {signal}));
	}

	/** Fetches the snapshot of an instance, which includes its catalog if that is newer than a version. Rejects if the instance does not answer. */
	async fetchSnapshot(address: string, version: number): Promise<InstanceSnapshot> {
		return this.call(address, async (client, signal) => instanceSnapshotSchema.parse(await client.snapshot.query({version}, {signal})));
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
				url: `http://${address}`, fetch: async (url, options) => this.http.fetch(String(url), {
					method: options?.method, headers: options?.headers, body: typeof options?.body === 'string' ? options.body : undefined, signal: options?.signal ?? undefined,
				}),
			})],
		});
		this.clients.set(address, client);
		return this.timers.runWithTimeout(this.timeout, async signal => operation(client, signal));
	}
}
