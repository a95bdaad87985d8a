import {type Logger} from 'winston';
import {type Workspace} from '../configuration/sheet-row.js';
import {type Invariants} from '../observation/invariants.js';
import {type Row} from '../store/row.js';
import {type Table} from '../store/table.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {Allowance, AllowanceRefusal} from './allowance.js';
import {addGrant, type GrantRequest} from './grant-request.js';
import {type Reservation} from './reservation.js';
import {
	type UsageRecord, usageRecordSchema, getUsageRowKey, getWindow, windowMs,
} from './usage-record.js';
import {type WaitingRequest} from './waiting-request.js';

const grantsPerWindow = 16;
const maximumTries = 5;
const settleIntervalMs = 5000;
const noLimits: ReadonlySet<AllowanceRefusal> = new Set();

function parseUsage(row: Row | undefined): UsageRecord {
	return row ? usageRecordSchema.parse(JSON.parse(row.value)) : {holders: {}};
}

/** Returns the limits that kept the table from granting all that was requested. */
function findReachedLimits(request: GrantRequest, {granted, streams}: {readonly granted: number; readonly streams: number}): ReadonlySet<AllowanceRefusal> {
	const limits = new Set<AllowanceRefusal>();
	if (granted < request.granted + request.tokens) {
		limits.add(AllowanceRefusal.Tokens);
	}

	if (streams < request.streams) {
		limits.add(AllowanceRefusal.Streams);
	}

	return limits;
}

/** Dependencies of the usage meter. */
export type UsageMeterDependencies = {
	readonly table: Table;
	readonly timers: TimerService;
	/** Unique id of the instance and the start of its process. */
	readonly holder: string;
	/** Number of entry instances on the instance list; 0 before the list was first seen. */
	readonly countInstances: () => number;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** Charges tokens to workspaces and enforces their limits across all instances by reserving grants from the table in advance. */
export class UsageMeter {
	private readonly allowances = new Map<string, Allowance[]>();
	/** Requests that wait for a grant, by workspace. A workspace has an entry while a grant is requested for it. */
	private readonly waiting = new Map<string, WaitingRequest[]>();
	private isSettling = false;

	constructor(private readonly dependencies: UsageMeterDependencies) {
		dependencies.timers.repeat(settleIntervalMs, () => {
			void this.settlePastWindows();
		});
	}

	/**
	Reserves tokens and a stream for a request, and requests a further grant from the table if needed.

	@throws Failure with the code TokenLimitReached or StreamLimitReached
	*/
	async reserve(workspace: Workspace, tokens: number): Promise<Reservation> {
		const allowance = this.getAllowance(workspace.name);
		if (allowance.reserve(tokens) === undefined) {
			return {workspace: workspace.name, allowance, tokens};
		}

		return new Promise((resolve, reject) => {
			const request = {
				workspace, tokens, resolve, reject,
			};
			const waiting = this.waiting.get(workspace.name);
			if (waiting) {
				waiting.push(request);
			} else {
				this.waiting.set(workspace.name, [request]);
				void this.refill(workspace.name);
			}
		});
	}

	/** Ends a reservation and charges the tokens used, which must not exceed the tokens reserved. */
	settle(reservation: Reservation, used: number): void {
		this.dependencies.invariants.check(used <= reservation.tokens, 'a request uses no more tokens than it reserved', `${used} of ${reservation.tokens}`);
		reservation.allowance.settle(reservation.tokens, used);
		this.allowances.get(reservation.workspace)?.at(-1)?.endStream();
	}

	/** Writes the usage of all windows to the table, which returns unused grants. Called at a planned stop. */
	async flush(): Promise<void> {
		const pending = [...this.allowances].flatMap(([workspace, allowances]) => allowances.map(async allowance => this.writeUsage(workspace, allowance)));
		await Promise.allSettled(pending);
	}

	/** The allowance of the current window. A new one takes over the number of running streams. */
	private getAllowance(name: string): Allowance {
		const window = getWindow(this.dependencies.timers.wallClock());
		const allowances = this.allowances.get(name) ?? [];
		this.allowances.set(name, allowances);
		const latest = allowances.at(-1);
		if (latest && latest.window >= window) {
			return latest;
		}

		const allowance = new Allowance(window, latest?.running ?? 0);
		allowances.push(allowance);
		return allowance;
	}

	/** Requests grants for a workspace, one at a time, until no request waits for one. */
	private async refill(name: string): Promise<void> {
		const waiting = this.waiting.get(name)!;
		while (waiting.length > 0) {
			const included = waiting.splice(0);
			const {workspace} = included.at(-1)!;
			const allowance = this.getAllowance(name);
			const limits = await this.requestGrant(workspace, allowance, included); // eslint-disable-line no-await-in-loop
			const current = this.getAllowance(name);
			// A grant that arrives after the end of its window decides nothing for the next one.
			const unserved = this.serve(current, included, current === allowance ? limits : noLimits);
			// Requests that joined meanwhile were not part of the grant, but may fit into what it left.
			const joined = this.serve(current, waiting.splice(0), noLimits);
			waiting.push(...unserved, ...joined);
		}

		this.waiting.delete(name);
	}

	/**
	Reserves from an allowance for waiting requests, in order, and refuses those that exceed a limit.

	@param limits - limits that have been reached; a request that exceeds another one continues to wait
	@returns the requests that continue to wait
	*/
	private serve(allowance: Allowance, requests: readonly WaitingRequest[], limits: ReadonlySet<AllowanceRefusal>): readonly WaitingRequest[] {
		return requests.filter(({workspace, tokens, resolve, reject}) => {
			const refusal = allowance.reserve(tokens);
			if (refusal === undefined) {
				resolve({workspace: workspace.name, allowance, tokens});
				return false;
			}

			if (limits.has(refusal)) {
				reject(this.createFailure(workspace, refusal));
				return false;
			}

			return true;
		});
	}

	private createFailure(workspace: Workspace, refusal: AllowanceRefusal): Failure {
		if (refusal === AllowanceRefusal.Streams) {
			return new Failure(ResultCode.StreamLimitReached, `${workspace.name} has reached its limit of ${workspace.concurrentStreams} concurrent streams`);
		}

		const secondsToNextWindow = Math.ceil((windowMs - (this.dependencies.timers.wallClock() % windowMs)) / 1000);
		return new Failure(ResultCode.TokenLimitReached, `${workspace.name} has reached its limit of ${workspace.tokensPerMinute} tokens per minute`, undefined, secondsToNextWindow);
	}

	/**
	Requests a grant that covers waiting requests. If the table is unavailable, opens the outage allowance.

	@returns the limits that the grant has reached; without a grant, all
	*/
	private async requestGrant(workspace: Workspace, allowance: Allowance, waiting: readonly WaitingRequest[]): Promise<ReadonlySet<AllowanceRefusal>> {
		try {
			for (let attempt = 0; attempt < maximumTries; attempt++) {
				const row = await this.dependencies.table.read(getUsageRowKey(workspace.name, allowance.window)); // eslint-disable-line no-await-in-loop
				const request = this.createGrantRequest(workspace, allowance, waiting);
				const record = addGrant(parseUsage(row), workspace, request);
				const isWritten = await this.writeRow(workspace.name, allowance.window, row, record); // eslint-disable-line no-await-in-loop
				if (isWritten) {
					const own = record.holders[this.dependencies.holder];
					allowance.applyGrant(own.granted, own.streams);
					allowance.closeOutageAllowance();
					return findReachedLimits(request, own);
				}
			}
		} catch (error) {
			this.dependencies.log.warn(`No grant for ${workspace.name} could be obtained from the table, using the outage allowance: ${getErrorMessage(error)}.`);
			allowance.openOutageAllowance(workspace, this.dependencies.countInstances());
		}

		return new Set(Object.values(AllowanceRefusal));
	}

	private createGrantRequest(workspace: Workspace, allowance: Allowance, waiting: readonly WaitingRequest[]): GrantRequest {
		const instances = Math.max(1, this.dependencies.countInstances());
		const tokenChunk = Math.ceil(workspace.tokensPerMinute / (grantsPerWindow * instances));
		const streamChunk = Math.ceil(workspace.concurrentStreams / (4 * instances));
		const waitingTokens = waiting.reduce((sum, {tokens}) => sum + tokens, 0);
		return {
			holder: this.dependencies.holder,
			granted: allowance.granted,
			tokens: Math.max(tokenChunk, allowance.computeShortage(waitingTokens)),
			streams: allowance.running + Math.max(streamChunk, waiting.length),
		};
	}

	/** Writes the usage of past windows that have no running streams. Does nothing while an earlier call is in progress. */
	private async settlePastWindows(): Promise<void> {
		if (this.isSettling) {
			return;
		}

		this.isSettling = true;
		const window = getWindow(this.dependencies.timers.wallClock());
		for (const [workspace, allowances] of this.allowances) {
			for (const allowance of allowances.filter(candidate => candidate.window < window && candidate.reserved === 0)) {
				try {
					await this.writeUsage(workspace, allowance); // eslint-disable-line no-await-in-loop
					allowances.splice(allowances.indexOf(allowance), 1);
				} catch (error) {
					this.dependencies.log.warn(`The usage of ${workspace} could not be written and will be retried: ${getErrorMessage(error)}.`);
				}
			}
		}

		this.isSettling = false;
	}

	private async writeUsage(workspace: string, allowance: Allowance): Promise<void> {
		if (allowance.granted === 0 && allowance.used === 0) {
			return;
		}

		for (let attempt = 0; attempt < maximumTries; attempt++) {
			const row = await this.dependencies.table.read(getUsageRowKey(workspace, allowance.window)); // eslint-disable-line no-await-in-loop
			const record = parseUsage(row);
			const settled = {granted: allowance.granted, used: allowance.used + allowance.reserved, streams: 0};
			const holders = {...record.holders, [this.dependencies.holder]: settled};
			if (await this.writeRow(workspace, allowance.window, row, {holders})) { // eslint-disable-line no-await-in-loop
				return;
			}
		}

		throw new Error(`the usage row of ${workspace} was changed by other instances on every try`);
	}

	private async writeRow(workspace: string, window: number, row: Row | undefined, record: UsageRecord): Promise<boolean> {
		const write = {key: getUsageRowKey(workspace, window), expected: row?.version ?? 0, value: JSON.stringify(record)};
		const outcome = await this.dependencies.table.transact([write]);
		return outcome.isApplied;
	}
}
