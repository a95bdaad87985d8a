import {priorities, type Priority} from '../configuration/priority.js';
import {type AdmissionRequest} from './admission-request.js';
import {VirtualTimes} from './virtual-times.js';

type QueueEntry = {
	readonly request: AdmissionRequest;
	readonly enqueuedAt: number;
};

/**
Orders waiting requests by priority, then by the shares of their workspaces.

Workspaces of the same priority are scheduled by start-time fair queueing (P. Goyal et al., 1996): the workspace with the lowest virtual time goes first, and its virtual time grows by cost divided by share. A workspace that was idle starts at the current virtual time, so others may use its unused share, but the workspace accumulates no credit for it.
*/
export class FairQueue {
	private readonly queues = new Map<Priority, Map<string, QueueEntry[]>>(priorities.map(priority => [priority, new Map()]));
	private readonly virtualTimes = new VirtualTimes();
	private length = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.length;
	}

	enqueue(request: AdmissionRequest, now: number): void {
		const queue = this.queues.get(request.priority)!;
		const entries = queue.get(request.workspace) ?? [];
		if (entries.length === 0) {
			queue.set(request.workspace, entries);
		}

		entries.push({request, enqueuedAt: now});
		this.length++;
	}

	/** Estimated number of waiting requests scheduled before a new one: all of higher priority, and those of the same priority according to the shares of the waiting workspaces. */
	countAhead({priority, workspace, share}: AdmissionRequest): number {
		let higherPriorityCount = 0;
		for (const other of priorities.slice(0, priorities.indexOf(priority))) {
			higherPriorityCount += this.countEntries(other);
		}

		const samePriority = this.queues.get(priority)!;
		let totalShare = samePriority.has(workspace) ? 0 : share;
		for (const entries of samePriority.values()) {
			totalShare += entries[0].request.share;
		}

		const ownCount = samePriority.get(workspace)?.length ?? 0;
		return higherPriorityCount + Math.min(this.countEntries(priority), Math.ceil((ownCount + 1) * totalShare / share) - 1);
	}

	/** Removes and returns the next request; undefined if the queue is empty. */
	dequeue(): AdmissionRequest | undefined {
		for (const priority of priorities) {
			const queue = this.queues.get(priority)!;
			const workspace = this.findLeastServed(queue);
			if (workspace !== undefined) {
				return this.dequeueFrom(queue, workspace);
			}
		}

		return undefined;
	}

	/** Removes and returns all requests that match the predicate. */
	remove(shouldRemove: (request: AdmissionRequest, enqueuedAt: number) => boolean): readonly AdmissionRequest[] {
		const removed: AdmissionRequest[] = [];
		for (const queue of this.queues.values()) {
			for (const [workspace, entries] of queue) {
				const remaining = entries.filter(({request, enqueuedAt}) => !shouldRemove(request, enqueuedAt));
				removed.push(...entries.filter(entry => !remaining.includes(entry)).map(({request}) => request));
				this.length -= entries.length - remaining.length;
				if (remaining.length === 0) {
					queue.delete(workspace);
				} else {
					queue.set(workspace, remaining);
				}
			}
		}

		return removed;
	}

	/** Adds the cost of a request to the virtual time of its workspace. Callers use it for requests that skip the queue. */
	charge(request: AdmissionRequest): void {
		this.virtualTimes.charge(request.workspace, request.cost, request.share);
	}

	private countEntries(priority: Priority): number {
		let count = 0;
		for (const entries of this.queues.get(priority)!.values()) {
			count += entries.length;
		}

		return count;
	}

	private findLeastServed(queue: ReadonlyMap<string, QueueEntry[]>): string | undefined {
		let leastServed: string | undefined;
		let lowestVirtualTime = Number.POSITIVE_INFINITY;
		for (const workspace of queue.keys()) {
			const virtualTime = this.virtualTimes.getStart(workspace);
			if (virtualTime < lowestVirtualTime) {
				leastServed = workspace;
				lowestVirtualTime = virtualTime;
			}
		}

		return leastServed;
	}

	private dequeueFrom(queue: Map<string, QueueEntry[]>, workspace: string): AdmissionRequest {
		const entries = queue.get(workspace)!;
		const {request} = entries.shift()!;
		if (entries.length === 0) {
			queue.delete(workspace);
		}

		this.length--;
		this.virtualTimes.serve(workspace, request.cost, request.share);
		return request;
	}
}
