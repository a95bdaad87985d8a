import {type Workspace} from '../configuration/sheet-row.js';

/** Why a request was not allowed. */
export enum AllowanceRefusal {
	Tokens = 'tokens',
	Streams = 'streams',
}

/**
What one instance may spend for one workspace in one window.

While the table is down, a process that has spent its grants goes on with an outage allowance: its part of the tokens a minute and of the streams, once a window. The bound over all processes that run in one window is therefore
`used ≤ L + Σ over processes i of ⌈L / Nᵢ⌉`, where `L` is the tokens a minute and `Nᵢ` the number of entry instances on the instance list that process `i` last saw, alive or not. A process that has never seen the list has no outage allowance.
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

	/** Tokens reserved by streams that run. */
	get reserved(): number {
		return this.reservedTokens;
	}

	/** Streams that run. */
	get running(): number {
		return this.runningStreams;
	}

	/** Streams granted by the table. */
	get streams(): number {
		return this.grantedStreams;
	}

	/** Tokens that can still be reserved. */
	get remaining(): number {
		return this.grantedTokens + this.outageTokens - this.reservedTokens - this.usedTokens;
	}

	/** Takes over what the table grants in all. */
	applyGrant(tokens: number, streams: number): void {
		this.grantedTokens = tokens;
		this.grantedStreams = streams;
	}

	/**
	Opens the outage allowance, once for the window.

	@param instances - number of entry instances on the list; 0 where it was never seen
	*/
	openOutageAllowance(workspace: Workspace, instances: number): void {
		this.outageTokens = instances === 0 ? 0 : Math.ceil(workspace.tokensPerMinute / instances);
		this.outageStreams = instances === 0 ? 0 : Math.ceil(workspace.concurrentStreams / instances);
	}

	/** Closes the outage allowance for further reservations; what is reserved of it stays. */
	closeOutageAllowance(): void {
		this.outageTokens = Math.max(0, this.reservedTokens + this.usedTokens - this.grantedTokens);
		this.outageStreams = 0;
	}

	/** Reserves tokens and one stream; returns why not, where it cannot. */
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

	/** Ends a stream: its reservation is replaced by what it used. */
	settle(reserved: number, used: number): void {
		this.reservedTokens -= reserved;
		this.usedTokens += used;
	}

	/** Counts a stream as ended. */
	endStream(): void {
		this.runningStreams--;
	}
}
