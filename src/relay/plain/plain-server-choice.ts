import {getIncarnationId, type BackendServer} from '../../pipelines/backend-server.js';
import {type DelayedServer, type PlainServerRequirements} from '../../pipelines/plain-server-selector.js';
import {type RelayRequest} from '../relay-request.js';
import {type PlainExchangeDependencies} from './plain-exchange-dependencies.js';

/** Chooses the servers for the attempts of one plain request. Times are monotonic milliseconds. */
export class PlainServerChoice {
	private readonly triedIncarnations = new Set<string>();
	private readonly excludedIncarnations = new Set<string>();

	constructor(private readonly request: RelayRequest, private readonly dependencies: PlainExchangeDependencies) {}

	/** Selects a server that has not been tried; returns undefined if none is left. */
	selectUntried(now: number): BackendServer | undefined {
		return this.selectExcept(this.triedIncarnations, now);
	}

	/**
	Selects a server, if possible one that has not been tried.

	@param busy - servers with an attempt in progress, which are never selected
	@returns undefined if no server is left
	*/
	select(now: number, busy: readonly BackendServer[]): BackendServer | undefined {
		return this.selectUntried(now) ?? this.selectExcept(new Set(busy.map(server => getIncarnationId(server))), now);
	}

	/**
	Finds the server whose request limit is the first to allow a request.

	@returns undefined if no server is left, or if this instance has no share of their limits
	*/
	findNextAllowed(now: number): DelayedServer | undefined {
		return this.dependencies.selector.findNextAllowed(this.createRequirements(new Set()), now);
	}

	/** Whether an attempt was sent to this incarnation of the server. */
	hasTried(server: BackendServer): boolean {
		return this.triedIncarnations.has(getIncarnationId(server));
	}

	/** Records that an attempt is sent to the server. */
	recordTried(server: BackendServer): void {
		this.triedIncarnations.add(getIncarnationId(server));
	}

	/** Excludes a server from the further attempts. */
	exclude(server: BackendServer): void {
		this.excludedIncarnations.add(getIncarnationId(server));
	}

	private selectExcept(excluded: ReadonlySet<string>, now: number): BackendServer | undefined {
		return this.dependencies.selector.select(this.createRequirements(excluded), now);
	}

	private createRequirements(excluded: ReadonlySet<string>): PlainServerRequirements {
		const {dependencies: {computeConnectionShare}, request: {service: {name: service, maxConnections}}} = this;
		return {service, excluded: new Set([...excluded, ...this.excludedIncarnations]), maxRequests: computeConnectionShare(maxConnections)};
	}
}
