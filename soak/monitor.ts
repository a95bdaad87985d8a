import got from 'got';
import * as z from 'zod';
import {type EntryProcess, readControl} from '../harness/cluster.js';
import {sumGrantedStreams, type UsageRecord, usageRecordSchema} from '../src/usage/usage-record.js';
import {type SoakEnvironment, workspaces} from './soak-environment.js';

const pollPeriodMs = 100;
const propagationLimitMs = 7000;
const readySchema = z.object({version: z.number()});

/** Polls the readiness of the entry instances, as the platform's load balancer does, and checks the configuration versions that they report. */
export class Monitor {
	private readonly highestVersions = new Map<EntryProcess, {pid: number; version: number}>();
	private readonly propagatedVersions = new Set<number>();

	constructor(private readonly environment: SoakEnvironment) {}

	async run(): Promise<void> {
		while (!this.environment.isOver) {
			await Promise.all(this.environment.cluster.entries.map(async entry => this.probe(entry))); // eslint-disable-line no-await-in-loop
			this.environment.recordPrograms();
			this.measurePropagation();
			await this.environment.cluster.timers.sleep(pollPeriodMs); // eslint-disable-line no-await-in-loop
		}
	}

	private async probe(entry: EntryProcess): Promise<void> {
		const {routable} = this.environment;
		const {pid} = entry.program;
		const startedAt = this.environment.now();
		try {
			const body = await got(`http://${entry.callerAddress}/ready`, {retry: {limit: 0}, timeout: {request: 400}}).json();
			routable.add(entry);
			this.checkVersion(entry, pid, readySchema.parse(body).version, startedAt);
		} catch {
			routable.delete(entry);
		}
	}

	/** A ready instance must never return to an older version, and must have every version that was accepted more than 7 s ago. */
	private checkVersion(entry: EntryProcess, pid: number, version: number, startedAt: number): void {
		const {tally, acceptedVersions} = this.environment;
		const before = this.highestVersions.get(entry);
		if (before?.pid === pid && version < before.version) {
			tally.configurationReverts++;
			tally.addNote(`${entry.id} went from version ${before.version} to ${version}`);
		}

		this.highestVersions.set(entry, {pid, version});
		for (const [acceptedVersion, at] of acceptedVersions) {
			if (acceptedVersion > version && startedAt - at > propagationLimitMs) {
				tally.configurationReverts++;
				tally.addNote(`${entry.id} is ready with version ${version}, ${Math.round(startedAt - at)} ms after version ${acceptedVersion} was accepted`);
			}
		}
	}

	private measurePropagation(): void {
		const {acceptedVersions, routable, tally} = this.environment;
		for (const [version, at] of acceptedVersions) {
			const isEverywhere = [...routable].every(entry => (this.highestVersions.get(entry)?.version ?? -1) >= version);
			if (isEverywhere && routable.size > 0 && !this.propagatedVersions.has(version)) {
				this.propagatedVersions.add(version);
				tally.slowestSpreadMs = Math.max(tally.slowestSpreadMs, Math.round(this.environment.now() - at));
			}
		}
	}
}

const checksSchema = z.object({lateStarts: z.array(z.number())});
const executionsSchema = z.object({executions: z.record(z.string(), z.number())});
const rowsSchema = z.object({rows: z.array(z.object({key: z.string(), value: z.string()}))});

/** Checks at the end of a run what the simulators have recorded. */
export class Audit {
	constructor(private readonly environment: SoakEnvironment) {}

	/** Compares the executions that the records services counted with the responses that callers got. */
	async checkActions(sends: ReadonlyMap<string, ReadonlyArray<{readonly execution: string}>>): Promise<void> {
		const {cluster, tally} = this.environment;
		const total = new Map<string, number>();
		for (const {address} of cluster.backends.filter(({id}) => id.startsWith('records'))) {
			const {executions} = executionsSchema.parse(await readControl(address, 'executions')); // eslint-disable-line no-await-in-loop
			for (const [key, count] of Object.entries(executions)) {
				total.set(key, (total.get(key) ?? 0) + count);
			}
		}

		for (const [key, list] of sends) {
			const count = total.get(key) ?? 0;
			tally.actionsRun += count;
			if (count > 1) {
				tally.actionsRunTwice++;
				tally.addNote(`${key} was run ${count} times`);
			}

			if (count > 0 && list.length > 0 && list.every(({execution}) => execution === 'not_run')) {
				tally.notRunButRun++;
				tally.addNote(`${key} was run although each response said not_run`);
			}
		}
	}

	/** Checks for new work at leaving servers, layer violations and violated invariants. */
	async checkBackends(): Promise<void> {
		const {cluster, tally, programs} = this.environment;
		for (const {id, address} of cluster.backends.filter(({id: name}) => name.startsWith('engine'))) {
			const {lateStarts} = checksSchema.parse(await readControl(address, 'checks')); // eslint-disable-line no-await-in-loop
			tally.workAfterLeaving += lateStarts.length;
			if (lateStarts.length > 0) {
				tally.addNote(`${id} got work ${lateStarts.map(late => Math.round(late)).join(', ')} ms after the grace period for leaving`);
			}
		}

		for (const program of programs) {
			const violations = program.errorLines.filter(line => line.startsWith('engine '));
			const failures = program.errorLines.filter(line => line.includes('Invariant violated'));
			tally.layerViolations += violations.length;
			tally.invariantFailures += failures.length;
			for (const line of [...violations, ...failures]) {
				tally.addNote(line);
			}
		}
	}

	/** Checks the usage records of each minute against the limits of the workspaces. */
	async checkUsage(): Promise<void> {
		const {cluster, tally} = this.environment;
		const {rows} = rowsSchema.parse(await readControl(cluster.platformAddress, 'rows?prefix=usage/'));
		for (const {key, value} of rows) {
			const record = usageRecordSchema.parse(JSON.parse(value));
			const limits = workspaces.find(({name}) => key.split('/')[1] === name);
			if (limits && this.isOverLimit(record, limits.tokens, limits.streams)) {
				tally.overLimit++;
				tally.addNote(`${key} is over its limits: ${value}`);
			}
		}
	}

	/** Whether grants exceed the limits, or a process has used more than its grant plus the allowance for a platform outage. */
	private isOverLimit(record: UsageRecord, tokens: number, streams: number): boolean {
		const outageAllowance = Math.ceil(tokens / this.environment.cluster.entries.length);
		let granted = 0;
		for (const holder of Object.values(record.holders)) {
			granted += Math.min(holder.granted, holder.used ?? holder.granted);
			if ((holder.used ?? 0) > holder.granted + outageAllowance) {
				return true;
			}
		}

		return granted > tokens || sumGrantedStreams(record) > streams;
	}
}
