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
import {addGrant} from './grant-request.js';
import {
	type UsageRecord, usageRecordSchema, getUsageRowKey, getWindow, windowMs,
} from './usage-record.js';

/** Tokens and one stream reserved for a request. */
export type Reservation = {
	readonly workspace: string;
	readonly allowance: Allowance;
	readonly tokens: number;
};

const grantsPerWindow = 16;
const maximumTries = 5;
const settleIntervalMs = 5000;

function parseUsage(row: Row | undefined): UsageRecord {
	return row ? usageRecordSchema.parse(JSON.parse(row.value)) : {holders: {}};
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
	private readonly refills = new Map<string, Promise<void>>();
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
		let allowance = this.getAllowance(workspace);
		let refusal = allowance.reserve(tokens);
		if (refusal) {
			await this.refill(workspace, tokens);
			allowance = this.getAllowance(workspace);
			refusal = allowance.reserve(tokens);
		}

		if (refusal === AllowanceRefusal.Streams) {
			throw new Failure(ResultCode.StreamLimitReached, `${workspace.name} has reached its limit of ${workspace.concurrentStreams} concurrent streams`);
		}

		if (refusal === AllowanceRefusal.Tokens) {
			const secondsToNextWindow = Math.ceil((windowMs - (this.dependencies.timers.wallClock() % windowMs)) / 1000);
			throw new Failure(ResultCode.TokenLimitReached, `${workspace.name} has reached its limit of ${workspace.tokensPerMinute} tokens per minute`, undefined, secondsToNextWindow);
		}

		return {workspace: workspace.name, allowance, tokens};
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
	private getAllowance({name}: Workspace): Allowance {
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

	/** Requests a further grant. Concurrent requests for the same workspace share one if it suffices. */
	private async refill(workspace: Workspace, tokens: number): Promise<void> {
		const pending = this.refills.get(workspace.name);
		if (pending) {
			await pending;
			if (this.getAllowance(workspace).remaining >= tokens) {
				return;
			}
		}

		const refill = this.requestGrant(workspace, tokens);
		this.refills.set(workspace.name, refill);
		await refill;
		if (this.refills.get(workspace.name) === refill) {
			this.refills.delete(workspace.name);
		}
	}

	private async requestGrant(workspace: Workspace, tokens: number): Promise<void> {
		const allowance = this.getAllowance(workspace);
		const instances = Math.max(1, this.dependencies.countInstances());
		const tokenChunk = Math.max(tokens, Math.ceil(workspace.tokensPerMinute / (grantsPerWindow * instances)));
		const streamChunk = Math.max(1, Math.ceil(workspace.concurrentStreams / (4 * instances)));
		try {
			for (let attempt = 0; attempt < maximumTries; attempt++) {
				const row = await this.dependencies.table.read(getUsageRowKey(workspace.name, allowance.window)); // eslint-disable-line no-await-in-loop
				const record = addGrant(parseUsage(row), workspace, {
					holder: this.dependencies.holder, granted: allowance.granted, tokens: tokenChunk, streams: allowance.running + streamChunk,
				});
				const isWritten = await this.writeRow(workspace.name, allowance.window, row, record); // eslint-disable-line no-await-in-loop
				if (isWritten) {
					const own = record.holders[this.dependencies.holder];
					allowance.applyGrant(own.granted, own.streams);
					allowance.closeOutageAllowance();
					return;
				}
			}
		} catch (error) {
			this.dependencies.log.warn(`No grant for ${workspace.name} could be obtained from the table, using the outage allowance: ${getErrorMessage(error)}.`);
			allowance.openOutageAllowance(workspace, this.dependencies.countInstances());
		}
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
