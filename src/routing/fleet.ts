import {type LoadReport} from '../backends/load-report.js';
import {type Stage} from '../backends/stage.js';
import {InstanceRole} from '../store/instance-role.js';
import {InstanceState} from '../store/instance-state.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type ServerState, getLoadedVersion} from './server-state.js';

const initialSuspicionMs = 1000;
const maximumSuspicionMs = 15_000;

/**
The backend servers as this instance sees them. Entries of the instance list lag behind, so connections to the servers and their load reports take precedence over the list.
*/
export class Fleet {
	private readonly servers = new Map<string, ServerState>();
	private readonly entryInstancesById = new Map<string, ListedInstance>();
	private currentRevision = 0;

	/** Revision number, incremented whenever the set of usable servers or their token rates may have changed. */
	get revision(): number {
		return this.currentRevision;
	}

	/** Applies changed entries of the instance list. */
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

	/** Entry instances on the list by id, without those that are gone. */
	getEntryInstances(): ReadonlyMap<string, ListedInstance> {
		return this.entryInstancesById;
	}

	/** All entry instances and backend servers on the list as last seen. */
	getListedInstances(): readonly ListedInstance[] {
		return [...this.entryInstancesById.values(), ...[...this.servers.values()].map(({listed}) => listed)];
	}

	findServer(id: string): ServerState | undefined {
		return this.servers.get(id);
	}

	getServers(): Iterable<ServerState> {
		return this.servers.values();
	}

	/** Model versions loaded on usable servers of a service, preceded by the wanted version, which need not be loaded anywhere. */
	findVersions(service: string, wanted: string, now: number): readonly string[] {
		const versions = new Set([wanted]);
		for (const server of this.servers.values()) {
			if (server.listed.service === service && this.isUsable(server, now)) {
				versions.add(getLoadedVersion(server));
			}
		}

		return [...versions];
	}

	/** Servers of a service that have the version loaded and may receive new requests. */
	findUsableServers(service: string, version: string, now: number): readonly ServerState[] {
		return [...this.servers.values()].filter(server => server.listed.service === service
			&& getLoadedVersion(server) === version
			&& this.isUsable(server, now));
	}

	isUsable(server: ServerState, now: number): boolean {
		return server.listed.state === InstanceState.Live && !server.isLeaving && server.suspectUntil <= now;
	}

	/** Reason in words why a server receives no new requests; empty if it does. */
	explainUnusable(server: ServerState, version: string, now: number): string {
		if (getLoadedVersion(server) !== version) {
			return `it holds version ${getLoadedVersion(server)}`;
		}

		if (server.isLeaving || server.listed.state !== InstanceState.Live) {
			return 'it is leaving';
		}

		return server.suspectUntil > now ? 'a connection to it failed' : '';
	}

	/** Stores a server's load report and clears its suspicion, since the server has responded. */
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

	/** Suspects a server after a failed connection: it receives no new requests for a time that doubles with each consecutive failure. */
	markSuspect(id: string, now: number): void {
		const server = this.servers.get(id);
		if (server) {
			this.currentRevision++;
			server.suspectUntil = now + Math.min(maximumSuspicionMs, initialSuspicionMs * (2 ** server.failures));
			server.failures++;
		}
	}

	/** Counts a request that has started on the stages. */
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
			this.entryInstancesById.delete(listed.id);
		} else {
			this.entryInstancesById.set(listed.id, listed);
		}
	}

	private updateServer(listed: ListedInstance): void {
		if (listed.state === InstanceState.Gone) {
			this.servers.delete(listed.id);
			return;
		}

		const server = this.servers.get(listed.id);
		if (server) {
			server.listed = listed;
			return;
		}

		this.servers.set(listed.id, {
			listed, ownRunning: 0, startedSinceReport: 0, suspectUntil: 0, failures: 0, isLeaving: false,
		});
	}
}
