import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type Membership} from '../membership/membership.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type TimerService} from '../time/timer-service.js';
import {type ProbeMessage} from './probe-message.js';
import {Peers} from './peers.js';
import {type Procedures} from './procedures.js';

/** Client for the procedures of an instance. */
export type ProcedureClient = TRPCClient<Procedures>;

/** Creates a client for the procedures at an address. */
export function createProcedureClient(address: string, secret: string): ProcedureClient {
	return createTRPCClient<Procedures>({
		links: [httpLink({url: `http://${address}`, headers: {authorization: `Bearer ${secret}`}})],
	});
}

export type TrpcPeersDependencies = {
	/** Address of this instance's peer interface. */
	readonly self: string;
	readonly secret: string;
	/** Milliseconds within which a probe must be answered; other calls get twice as long. */
	readonly timeout: number;
	readonly membership: Membership;
	readonly timers: TimerService;
};

/** Calls peers over tRPC and HTTP. */
export class TrpcPeers extends Peers {
	private readonly clients = new Map<string, ProcedureClient>();

	constructor(private readonly dependencies: TrpcPeersDependencies) {
		super();
	}

	* addresses(): Iterable<string> {
		for (const {address} of this.dependencies.membership.alive()) {
			yield address;
		}
	}

	async probe(address: string, message: ProbeMessage): Promise<ProbeMessage> {
		return this.call(address, this.dependencies.timeout, async (client, signal) => client.probe.mutate(message, {signal}));
	}

	async probeThrough(address: string, target: string): Promise<boolean> {
		return this.call(address, this.dependencies.timeout * 2, async (client, signal) => client.probeThrough.mutate({target}, {signal}));
	}

	async fetchUpdate(address: string, version: number): Promise<ConfigurationUpdate | undefined> {
		return this.call(address, this.dependencies.timeout * 2, async (client, signal) => client.update.query({version}, {signal}));
	}

	async fetchListing(address: string): Promise<readonly ListedInstance[]> {
		return this.call(address, this.dependencies.timeout * 2, async (client, signal) => client.listing.query(undefined, {signal}));
	}

	async announce(address: string, version: number): Promise<number> {
		try {
			return await this.call(address, this.dependencies.timeout * 2, async (client, signal) => client.announce.mutate({address: this.dependencies.self, version}, {signal}));
		} catch {
			// No retry is needed: the next probe carries the version.
			return -1;
		}
	}

	private async call<Value>(address: string, timeout: number, operation: (client: ProcedureClient, signal: AbortSignal) => Promise<Value>): Promise<Value> {
		const client = this.clients.get(address) ?? createProcedureClient(address, this.dependencies.secret);
		this.clients.set(address, client);
		return this.dependencies.timers.runWithTimeout(timeout, async signal => operation(client, signal));
	}
}
