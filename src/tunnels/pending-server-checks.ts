import {TunnelFailureReason} from './tunnel-failure-reason.js';
import {TunnelFailure} from './tunnel-failure.js';

/** Reasons that say something about the server. */
const conclusiveReasons: ReadonlySet<TunnelFailureReason> = new Set([TunnelFailureReason.Refused, TunnelFailureReason.Unanswered]);

/** Whether a failure to open a tunnel shows that the server does not work. */
export function isConclusive({reason}: TunnelFailure): boolean {
	return conclusiveReasons.has(reason);
}

/** Returns the failure that shows that the server does not work; undefined if the tunnel was opened or its failure does not show that. */
async function findConclusiveFailure(tunnel: Promise<unknown>): Promise<TunnelFailure | undefined> {
	try {
		await tunnel;
		return undefined;
	} catch (error) {
		return error instanceof TunnelFailure && isConclusive(error) ? error : undefined;
	}
}

/** The servers that another instance is checking, so that connections to a server that fail at the same time lead to one check. */
export class PendingServerChecks {
	private readonly checks = new Map<string, Promise<TunnelFailure | undefined>>();

	/** Returns the pending check of a server, which resolves to the failure that shows that the server does not work, if there is one; undefined if no check is pending. */
	getPending(address: string): Promise<TunnelFailure | undefined> | undefined {
		return this.checks.get(address);
	}

	/** Holds the check of a server by an attempt to open a tunnel to it, until that has ended. */
	async hold(address: string, tunnel: Promise<unknown>): Promise<void> {
		const check = findConclusiveFailure(tunnel);
		this.checks.set(address, check);
		await check;
		if (this.checks.get(address) === check) {
			this.checks.delete(address);
		}
	}
}
