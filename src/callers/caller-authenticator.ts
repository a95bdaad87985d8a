import {type IncomingHttpHeaders} from 'node:http';
import {type Configuration} from '../configuration/configuration.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type ConfigurationFreshness, type PeerContact} from '../configuration/configuration-freshness.js';
import {type Service, type Workspace} from '../configuration/sheet-row.js';
import {parseBearerToken, computeDigest} from '../peers/secret.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerService} from '../time/timer-service.js';

/** A caller that was let in, with the configuration that holds for the request. */
export type AuthenticatedCaller = {
	readonly configuration: Configuration;
	readonly workspace: Workspace;
};

/** Lets requests in: the instance is ready, its configuration is the newest, and the key belongs to a workspace. */
export class CallerAuthenticator {
	/**
	@param hearing - what this instance hears of the others
	*/
	constructor(
		private readonly keeper: ActiveConfiguration,
		private readonly freshness: ConfigurationFreshness,
		private readonly hearing: () => PeerContact,
		private readonly timers: TimerService,
	) {}

	/** Version of the configuration in force; -1 where none is known. */
	get version(): number {
		return this.keeper.version();
	}

	/** Why the instance takes no new work; undefined where it does. */
	getReadinessFailure(): Failure | undefined {
		if (this.keeper.version() < 0) {
			return new Failure(ResultCode.NotReady, 'no configuration is known yet');
		}

		if (!this.freshness.isConfirmed(this.timers.now(), this.hearing())) {
			return new Failure(ResultCode.ConfigurationUnconfirmed, 'neither the table nor enough peers can be reached');
		}

		return undefined;
	}

	/** Lets a request in. Throws Failure. */
	authenticate(headers: IncomingHttpHeaders): AuthenticatedCaller {
		const obstacle = this.getReadinessFailure();
		if (obstacle) {
			throw obstacle;
		}

		const key = parseBearerToken(headers.authorization);
		if (key === undefined) {
			throw new Failure(ResultCode.KeyMissing, 'send the workspace\'s key as a bearer token');
		}

		const configuration = this.keeper.current()!;
		// The digest is looked up, not the key: what a look-up's time tells of a digest does not help to find its key.
		const workspace = configuration.sheet.findWorkspaceByKeyDigest(computeDigest(key));
		if (!workspace) {
			throw new Failure(ResultCode.KeyUnknown, 'the key belongs to no workspace');
		}

		return {configuration, workspace};
	}

	/** Checks that a workspace may call a service. Throws Failure. */
	checkGrant({configuration, workspace}: AuthenticatedCaller, service: Service): void {
		if (!configuration.sheet.isGranted(workspace.name, service.name)) {
			throw new Failure(ResultCode.ServiceNotGranted, `the sheet grants ${service.name} not to ${workspace.name}`);
		}
	}
}
