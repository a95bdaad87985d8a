import {priorities, type Priority} from '../configuration/priority.js';
import {type AdmissionRequest} from './admission-request.js';

type Waiting = {
	readonly ticket: AdmissionRequest;
	readonly since: number;
};

/**
Orders waiting requests by priority, then by the workspaces' shares.

Among workspaces of one priority it is start-time fair queueing (P. Goyal et al., 1996): the workspace with the least virtual time goes first, and its virtual time rises by cost over share. A workspace that was idle starts at the current virtual time, so an unused share is lent out and not saved up.
*/
export class FairQueue {
	private readonly queues = new Map<Priority, Map<string, Waiting[]>>(priorities.map(priority => [priority, new Map()]));
	private readonly virtualTimes = new Map<string, number>();
	private virtualNow = 0;
	private length = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.length;
	}

	enqueue(ticket: AdmissionRequest, now: number): void {
		const queue = this.queues.get(ticket.priority)!;
		const waiting = queue.get(ticket.workspace) ?? [];
		if (waiting.length === 0) {
			queue.set(ticket.workspace, waiting);
			this.virtualTimes.set(ticket.workspace, Math.max(this.virtualNow, this.virtualTimes.get(ticket.workspace) ?? 0));
		}

		waiting.push({ticket, since: now});
		this.length++;
	}

	/** Number of waiting requests that go before a new one: those of higher priority, and of the same by the shares of who waits. */
	countAhead({priority, workspace, share}: AdmissionRequest): number {
		let higher = 0;
		for (const other of priorities.slice(0, priorities.indexOf(priority))) {
			higher += this.countOf(other);
		}

		const equals = this.queues.get(priority)!;
		let shares = equals.has(workspace) ? 0 : share;
		for (const waiting of equals.values()) {
			shares += waiting[0].ticket.share;
		}

		const own = equals.get(workspace)?.length ?? 0;
		return higher + Math.min(this.countOf(priority), Math.ceil((own + 1) * shares / share) - 1);
	}

	/** Takes the request that goes next; undefined where none waits. */
	dequeue(): AdmissionRequest | undefined {
		for (const priority of priorities) {
			const queue = this.queues.get(priority)!;
			const workspace = this.leastServed(queue);
			if (workspace !== undefined) {
				return this.takeFrom(queue, workspace);
			}
		}

		return undefined;
	}

	/** Takes out all requests for which the test holds. */
	remove(isRemoved: (ticket: AdmissionRequest, since: number) => boolean): readonly AdmissionRequest[] {
		const removed: AdmissionRequest[] = [];
		for (const queue of this.queues.values()) {
			for (const [workspace, waiting] of queue) {
				const rest = waiting.filter(({ticket, since}) => !isRemoved(ticket, since));
				removed.push(...waiting.filter(entry => !rest.includes(entry)).map(({ticket}) => ticket));
				this.length -= waiting.length - rest.length;
				if (rest.length === 0) {
					queue.delete(workspace);
				} else {
					queue.set(workspace, rest);
				}
			}
		}

		return removed;
	}

	/** Charges a workspace for work that did not wait here. */
	charge(ticket: AdmissionRequest): void {
		const start = Math.max(this.virtualNow, this.virtualTimes.get(ticket.workspace) ?? 0);
		this.virtualTimes.set(ticket.workspace, start + (ticket.cost / ticket.share));
	}

	private countOf(priority: Priority): number {
		let count = 0;
		for (const waiting of this.queues.get(priority)!.values()) {
			count += waiting.length;
		}

		return count;
	}

	private leastServed(queue: ReadonlyMap<string, Waiting[]>): string | undefined {
		let best: string | undefined;
		let least = Number.POSITIVE_INFINITY;
		for (const workspace of queue.keys()) {
			const virtualTime = this.virtualTimes.get(workspace) ?? 0;
			if (virtualTime < least) {
				best = workspace;
				least = virtualTime;
			}
		}

		return best;
	}

	private takeFrom(queue: Map<string, Waiting[]>, workspace: string): AdmissionRequest {
		const waiting = queue.get(workspace)!;
		const {ticket} = waiting.shift()!;
		if (waiting.length === 0) {
			queue.delete(workspace);
		}

		this.length--;
		this.virtualNow = Math.max(this.virtualNow, this.virtualTimes.get(workspace) ?? 0);
		this.charge(ticket);
		return ticket;
	}
}
