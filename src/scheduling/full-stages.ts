import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

type Rejection = {
	/** Tokens that the server held in addition to those that this instance knew of. */
	readonly unknownTokens: number;
	/** Monotonic time in milliseconds. */
	readonly rejectedAt: number;
};

/** The load that rejections showed on servers and that no report has explained yet. It decays within the memory of a rejection, since other requests end meanwhile. */
export class FullStages {
	private readonly rejections = new Map<string, Rejection>();

	/**
	@param memory - milliseconds within which the evidence decays
	*/
	constructor(private readonly memory: number) {}

	/** Records that a server rejected a request, although this instance knew of fewer tokens than leave no room for it. */
	record(server: BackendServer, unknownTokens: number, now: number): void {
		this.rejections.set(getIncarnationId(server), {unknownTokens: Math.max(0, unknownTokens), rejectedAt: now});
	}

	/** Returns the tokens that a server probably holds in addition to the known ones. */
	getUnknownTokens(server: BackendServer, now: number): number {
		const rejection = this.rejections.get(getIncarnationId(server));
		return rejection ? rejection.unknownTokens * Math.max(0, 1 - ((now - rejection.rejectedAt) / this.memory)) : 0;
	}

	/** Removes the evidence about servers that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of this.rejections.keys()) {
			if (!listed.has(incarnationId)) {
				this.rejections.delete(incarnationId);
			}
		}
	}
}
