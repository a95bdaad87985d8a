import {TunnelFailureReason} from './tunnel-failure-reason.js';
import {TunnelFailure} from './tunnel-failure.js';

/** Reasons that say something about the server. */
const conclusiveReasons: ReadonlySet<TunnelFailureReason> = new Set([TunnelFailureReason.Refused, TunnelFailureReason.Unanswered]);

/** Whether a failure to open a tunnel shows that the server does not work. */
export function isConclusive({reason}: TunnelFailure): boolean {
	return conclusiveReasons.has(reason);
}

/** Returns the failure that shows that the server does not work; undefined if the tunnel was opened or its failure does not show that. */
async function findVerdict(tunnel: Promise<unknown>): Promise<TunnelFailure | undefined> {
	try {
		await tunnel;
		return undefined;
	} catch (error) {
		return error instanceof TunnelFailure && isConclusive(error) ? error : undefined;
	}
}

/** The servers about which another instance is being asked, so that connections to a server that fail at the same time make one query. */
export class PendingVerdicts {
	private readonly verdicts = new Map<string, Promise<TunnelFailure | undefined>>();

	/** Returns what another instance is about to say of a server; undefined if none is being asked. */
	getPending(address: string): Promise<TunnelFailure | undefined> | undefined {
		return this.verdicts.get(address);
	}

	/** Holds what the attempt to open a tunnel to a server says of it, until it has ended. */
	async hold(address: string, tunnel: Promise<unknown>): Promise<void> {
		const verdict = findVerdict(tunnel);
		this.verdicts.set(address, verdict);
		await verdict;
		if (this.verdicts.get(address) === verdict) {
			this.verdicts.delete(address);
		}
	}
}
