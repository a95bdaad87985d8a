import {type LoadReport} from '../backends/load-report.js';
import {type Stage} from '../backends/stage.js';
import {InstanceRole} from '../store/instance-role.js';
import {InstanceState} from '../store/instance-state.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type ServerState, getLoadedVersion} from './server-state.js';

const firstSuspicionMs = 1000;
const longestSuspicionMs = 15_000;

/**
The backend servers as this instance sees them: what the instance list says, which lags, and what the servers' own connections and reports say, which counts for more.
*/
export class Fleet {
	private readonly servers = new Map<string, ServerState>();
	private readonly entries = new Map<string, ListedInstance>();
	private currentRevision = 0;

	/** Rises whenever the set of usable servers or their rates may have changed. */
	get revision(): number {
		return this.currentRevision;
	}

	/** Takes over changed entries of the instance list. */
	update(changed: readonly ListedInstance[]): void {
		this.currentRevision++;
		for (const listed of changed) {
			if (listed.role === InstanceRole.Entry) {
				this.updateEntry(listed);
			} else {
				this.updateServer(listed);
			}
		}
	}

	/** Entry instances of the list that are not gone, by id. */
	entryInstances(): ReadonlyMap<string, ListedInstance> {
		return this.entries;
	}

	/** All entries of the list as last seen. */
	listedInstances(): readonly ListedInstance[] {
		return [...this.entries.values(), ...[...this.servers.values()].map(({listed}) => listed)];
	}

	findServer(id: string): ServerState | undefined {
		return this.servers.get(id);
	}

	getServers(): Iterable<ServerState> {
		return this.servers.values();
	}

	/** Versions of a model that usable servers of a service hold, the wanted one first. */
	findVersions(service: string, wanted: string, now: number): readonly string[] {
		const versions = new Set([wanted]);
		for (const server of this.servers.values()) {
			if (server.listed.service === service && this.isUsable(server, now)) {
				versions.add(getLoadedVersion(server));
			}
		}

		return [...versions];
	}

	/** Servers of a service that may get new work at a time, engines only with the version. */
	findUsableServers(service: string, version: string, now: number): readonly ServerState[] {
		return [...this.servers.values()].filter(server => server.listed.service === service
			&& getLoadedVersion(server) === version
			&& this.isUsable(server, now));
	}

	isUsable(server: ServerState, now: number): boolean {
		return server.listed.state === InstanceState.Live && !server.isLeaving && server.suspectUntil <= now;
	}

	/** Why a server gets no new work, in words; empty where it does. */
	explainUnusable(server: ServerState, version: string, now: number): string {
		if (getLoadedVersion(server) !== version) {
			return `it holds version ${getLoadedVersion(server)}`;
		}

		if (server.isLeaving || server.listed.state !== InstanceState.Live) {
			return 'it is leaving';
		}

		return server.suspectUntil > now ? 'a connection to it failed' : '';
	}

	/** Takes over a server's load report. */
	applyReport(id: string, report: LoadReport): void {
		const server = this.servers.get(id);
		if (!server) {
			return;
		}

		if (report.isLeaving !== server.isLeaving || report.tokenRate !== server.report?.tokenRate || report.version !== server.report.version) {
			this.currentRevision++;
		}

		server.report = report;
		server.startedSinceReport = 0;
		server.isLeaving = report.isLeaving;
		server.failures = 0;
		server.suspectUntil = 0;
	}

	/** Notes that a connection to the server failed: no new work for a time that doubles with each failure. */
	markSuspect(id: string, now: number): void {
		const server = this.servers.get(id);
		if (server) {
			this.currentRevision++;
			server.suspectUntil = now + Math.min(longestSuspicionMs, firstSuspicionMs * (2 ** server.failures));
			server.failures++;
		}
	}

	/** Counts a request that starts on the stages. */
	recordStart(stages: Iterable<Pick<Stage, 'server'>>): void {
		for (const {server: id} of stages) {
			const server = this.servers.get(id);
			if (server) {
				server.ownRunning++;
				server.startedSinceReport++;
			}
		}
	}

	/** Counts a request that has ended on the stages. */
	recordEnd(stages: Iterable<Pick<Stage, 'server'>>): void {
		for (const {server: id} of stages) {
			const server = this.servers.get(id);
			if (server) {
				server.ownRunning--;
			}
		}
	}

	private updateEntry(listed: ListedInstance): void {
		if (listed.state === InstanceState.Gone) {
			this.entries.delete(listed.id);
		} else {
			this.entries.set(listed.id, listed);
		}
	}

	private updateServer(listed: ListedInstance): void {
		if (listed.state === InstanceState.Gone) {
			this.servers.delete(listed.id);
			return;
		}

		const known = this.servers.get(listed.id);
		if (known) {
			known.listed = listed;
			return;
		}

		this.servers.set(listed.id, {
			listed, ownRunning: 0, startedSinceReport: 0, suspectUntil: 0, failures: 0, isLeaving: false,
		});
	}
}
