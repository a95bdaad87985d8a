import {type Workspace} from '../configuration/sheet-row.js';

/** The limit that a refused reservation would have exceeded. */
export enum AllowanceRefusal {
	Tokens = 'tokens',
	Streams = 'streams',
}

/**
Tokens and streams that one instance may use for one workspace in one window.

While the table is unavailable, a process that has used up its grants continues with an outage allowance: its share of the tokens per minute and of the concurrent streams, once per window. The bound over all processes that run in one window is therefore
`used ≤ L + Σ over processes i of ⌈L / Nᵢ⌉`, where `L` is the limit in tokens per minute and `Nᵢ` is the number of entry instances, alive or not, on the instance list that process `i` last saw. A process that has never seen the list has no outage allowance.
*/
export class Allowance {
	private grantedTokens = 0;
	private outageTokens = 0;
	private reservedTokens = 0;
	private usedTokens = 0;
	private grantedStreams = 0;
	private outageStreams = 0;
	private runningStreams = 0;

	constructor(readonly window: number, runningStreams = 0) {
		this.runningStreams = runningStreams;
	}

	/** Tokens granted by the table. */
	get granted(): number {
		return this.grantedTokens;
	}

	/** Tokens used by streams of this window. */
	get used(): number {
		return this.usedTokens;
	}

	/** Tokens reserved by running streams. */
	get reserved(): number {
		return this.reservedTokens;
	}

	/** Number of running streams. */
	get running(): number {
		return this.runningStreams;
	}

	/** Concurrent streams granted by the table. */
	get streams(): number {
		return this.grantedStreams;
	}

	/** Tokens that can still be reserved. */
	get remaining(): number {
		return this.grantedTokens + this.outageTokens - this.reservedTokens - this.usedTokens;
	}

	/**
	Tokens by which the grants fall short of those used, reserved and additionally needed; negative if they suffice. The outage allowance does not count, so that a later grant also covers what was used from it.

	@param tokens - tokens additionally needed
	*/
	computeShortage(tokens: number): number {
		return this.reservedTokens + this.usedTokens + tokens - this.grantedTokens;
	}

	/** Sets the totals granted by the table for this window. */
	applyGrant(tokens: number, streams: number): void {
		this.grantedTokens = tokens;
		this.grantedStreams = streams;
	}

	/**
	Opens the outage allowance of this window. Repeated calls do not add to it.

	@param instances - number of entry instances on the instance list; 0 if the list was never seen
	*/
	openOutageAllowance(workspace: Workspace, instances: number): void {
		this.outageTokens = instances === 0 ? 0 : Math.ceil(workspace.tokensPerMinute / instances);
		this.outageStreams = instances === 0 ? 0 : Math.ceil(workspace.concurrentStreams / instances);
	}

	/** Closes the outage allowance for further reservations. Tokens already used or reserved from it remain counted. */
	closeOutageAllowance(): void {
		this.outageTokens = Math.max(0, this.reservedTokens + this.usedTokens - this.grantedTokens);
		this.outageStreams = 0;
	}

	/**
	Reserves tokens and one stream.

	@returns the exceeded limit; undefined if the reservation was made
	*/
	reserve(tokens: number): AllowanceRefusal | undefined {
		if (this.remaining < tokens) {
			return AllowanceRefusal.Tokens;
		}

		if (this.runningStreams >= Math.max(this.grantedStreams, this.outageStreams)) {
			return AllowanceRefusal.Streams;
		}

		this.reservedTokens += tokens;
		this.runningStreams++;
		return undefined;
	}

	/** Replaces the reserved tokens of a stream that has ended by the tokens that it used. */
	settle(reserved: number, used: number): void {
		this.reservedTokens -= reserved;
		this.usedTokens += used;
	}

	/** Removes a stream from the running ones. */
	endStream(): void {
		this.runningStreams--;
	}
}
