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

/** A reservation of tokens and a stream. */
export type Reservation = {
	readonly workspace: string;
	readonly allowance: Allowance;
	readonly tokens: number;
};

const grantFraction = 16;
const tries = 5;
const settlePeriodMs = 5000;

function parseUsage(row: Row | undefined): UsageRecord {
	return row ? usageRecordSchema.parse(JSON.parse(row.value)) : {holders: {}};
}

/** What a meter needs. */
export type UsageMeterDependencies = {
	readonly table: Table;
	readonly timers: TimerService;
	/** The instance and the start of its process; unique. */
	readonly holder: string;
	/** The number of entry instances on the list; 0 before it was seen. */
	readonly countInstances: () => number;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** Attributes tokens to workspaces and bounds them across all instances, by grants taken from the table in advance. */
export class UsageMeter {
	private readonly allowances = new Map<string, Allowance[]>();
	private readonly refills = new Map<string, Promise<void>>();

	constructor(private readonly parts: UsageMeterDependencies) {
		parts.timers.repeat(settlePeriodMs, () => {
			void this.settlePast();
		});
	}

	/**
	Reserves tokens and a stream for a request, and asks the table for a further grant where needed.

	@throws Failure TokenLimitReached or StreamLimitReached
	*/
	async reserve(workspace: Workspace, tokens: number): Promise<Reservation> {
		let allowance = this.allowanceOf(workspace);
		let refusal = allowance.reserve(tokens);
		if (refusal) {
			await this.refill(workspace, tokens);
			allowance = this.allowanceOf(workspace);
			refusal = allowance.reserve(tokens);
		}

		if (refusal === AllowanceRefusal.Streams) {
			throw new Failure(ResultCode.StreamLimitReached, `${workspace.name} has ${workspace.concurrentStreams} concurrent streams`);
		}

		if (refusal === AllowanceRefusal.Tokens) {
			const rest = Math.ceil((windowMs - (this.parts.timers.wallClock() % windowMs)) / 1000);
			throw new Failure(ResultCode.TokenLimitReached, `${workspace.name} has used its ${workspace.tokensPerMinute} tokens of this minute`, undefined, rest);
		}

		return {workspace: workspace.name, allowance, tokens};
	}

	/** Ends a reservation and charges what was used, which is never more than what was reserved. */
	settle(reservation: Reservation, used: number): void {
		this.parts.invariants.check(used <= reservation.tokens, 'a request uses no more tokens than it reserved', `${used} of ${reservation.tokens}`);
		reservation.allowance.settle(reservation.tokens, used);
		this.allowances.get(reservation.workspace)?.at(-1)?.endStream();
	}

	/** Writes what was used into all rows, so that grants left over go back; at a planned stop. */
	async flush(): Promise<void> {
		const pending = [...this.allowances].flatMap(([workspace, allowances]) => allowances.map(async allowance => this.writeUse(workspace, allowance)));
		await Promise.allSettled(pending);
	}

	/** The allowance of the current window. Streams that run stay counted in it. */
	private allowanceOf({name}: Workspace): Allowance {
		const window = getWindow(this.parts.timers.wallClock());
		const allowances = this.allowances.get(name) ?? [];
		this.allowances.set(name, allowances);
		const newest = allowances.at(-1);
		if (newest && newest.window >= window) {
			return newest;
		}

		const allowance = new Allowance(window, newest?.running ?? 0);
		allowances.push(allowance);
		return allowance;
	}

	/** Asks for a further grant; requests that ask at the same time share one. */
	private async refill(workspace: Workspace, tokens: number): Promise<void> {
		const pending = this.refills.get(workspace.name);
		if (pending) {
			await pending;
			if (this.allowanceOf(workspace).remaining >= tokens) {
				return;
			}
		}

		const refill = this.takeGrant(workspace, tokens);
		this.refills.set(workspace.name, refill);
		await refill;
		if (this.refills.get(workspace.name) === refill) {
			this.refills.delete(workspace.name);
		}
	}

	private async takeGrant(workspace: Workspace, tokens: number): Promise<void> {
		const allowance = this.allowanceOf(workspace);
		const instances = Math.max(1, this.parts.countInstances());
		const chunk = Math.max(tokens, Math.ceil(workspace.tokensPerMinute / (grantFraction * instances)));
		const streamChunk = Math.max(1, Math.ceil(workspace.concurrentStreams / (4 * instances)));
		try {
			for (let attempt = 0; attempt < tries; attempt++) {
				const row = await this.parts.table.read(getUsageRowKey(workspace.name, allowance.window)); // eslint-disable-line no-await-in-loop
				const record = addGrant(parseUsage(row), workspace, {
					holder: this.parts.holder, granted: allowance.granted, tokens: chunk, streams: allowance.running + streamChunk,
				});
				const isWritten = await this.writeRow(workspace.name, allowance.window, row, record); // eslint-disable-line no-await-in-loop
				if (isWritten) {
					const own = record.holders[this.parts.holder];
					allowance.applyGrant(own.granted, own.streams);
					allowance.closeOutageAllowance();
					return;
				}
			}
		} catch (error) {
			this.parts.log.warn(`No grant for ${workspace.name}, the outage allowance applies: ${getErrorMessage(error)}.`);
			allowance.openOutageAllowance(workspace, this.parts.countInstances());
		}
	}

	/** Writes the use of windows that are over and have no running streams. */
	private async settlePast(): Promise<void> {
		const window = getWindow(this.parts.timers.wallClock());
		for (const [workspace, allowances] of this.allowances) {
			for (const allowance of allowances.filter(past => past.window < window && past.reserved === 0)) {
				try {
					await this.writeUse(workspace, allowance); // eslint-disable-line no-await-in-loop
					allowances.splice(allowances.indexOf(allowance), 1);
				} catch (error) {
					this.parts.log.warn(`The use of ${workspace} waits for the table: ${getErrorMessage(error)}.`);
				}
			}
		}
	}

	private async writeUse(workspace: string, allowance: Allowance): Promise<void> {
		if (allowance.granted === 0 && allowance.used === 0) {
			return;
		}

		for (let attempt = 0; attempt < tries; attempt++) {
			const row = await this.parts.table.read(getUsageRowKey(workspace, allowance.window)); // eslint-disable-line no-await-in-loop
			const record = parseUsage(row);
			const settled = {granted: allowance.granted, used: allowance.used + allowance.reserved, streams: 0};
			const holders = {...record.holders, [this.parts.holder]: settled};
			if (await this.writeRow(workspace, allowance.window, row, {holders})) { // eslint-disable-line no-await-in-loop
				return;
			}
		}

		throw new Error(`the usage row of ${workspace} is contended`);
	}

	private async writeRow(workspace: string, window: number, row: Row | undefined, record: UsageRecord): Promise<boolean> {
		const write = {key: getUsageRowKey(workspace, window), expected: row?.version ?? 0, value: JSON.stringify(record)};
		const outcome = await this.parts.table.transact([write]);
		return outcome.isApplied;
	}
}
