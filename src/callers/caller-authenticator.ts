import {type IncomingHttpHeaders} from 'node:http';
import {type Configuration} from '../configuration/configuration.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type ConfigurationFreshness, type PeerContact} from '../configuration/configuration-freshness.js';
import {type Service, type Workspace} from '../configuration/sheet-row.js';
import {parseBearerToken, computeDigest} from '../peers/secret.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerService} from '../time/timer-service.js';

/** An authenticated caller: its workspace, and the configuration that applies to the whole request. */
export type AuthenticatedCaller = {
	readonly configuration: Configuration;
	readonly workspace: Workspace;
};

/** Authenticates callers by the key of their workspace, provided that the instance is ready and its configuration is confirmed to be the newest. */
export class CallerAuthenticator {
	/**
	@param getPeerContact - returns how many peers this instance currently reaches
	*/
	constructor(
		private readonly activeConfiguration: ActiveConfiguration,
		private readonly freshness: ConfigurationFreshness,
		private readonly getPeerContact: () => PeerContact,
		private readonly timers: TimerService,
	) {}

	/** The active configuration version; -1 if there is none yet. */
	get version(): number {
		return this.activeConfiguration.version();
	}

	/** Returns why the instance accepts no new work; undefined if it does. */
	getReadinessFailure(): Failure | undefined {
		if (this.activeConfiguration.version() < 0) {
			return new Failure(ResultCode.NotReady, 'no configuration has been loaded yet');
		}

		if (!this.freshness.isConfirmed(this.timers.now(), this.getPeerContact())) {
			return new Failure(ResultCode.ConfigurationUnconfirmed, 'neither the table nor enough peers can be reached');
		}

		return undefined;
	}

	/**
	Authenticates the caller of a request by its bearer key.

	@throws Failure NotReady, ConfigurationUnconfirmed, KeyMissing or KeyUnknown
	*/
	authenticate(headers: IncomingHttpHeaders): AuthenticatedCaller {
		const failure = this.getReadinessFailure();
		if (failure) {
			throw failure;
		}

		const key = parseBearerToken(headers.authorization);
		if (key === undefined) {
			throw new Failure(ResultCode.KeyMissing, 'send the workspace\'s key as a bearer token');
		}

		const configuration = this.activeConfiguration.current()!;
		// Looks up the digest of the key, because the timing of a lookup could reveal something about a stored key but is of no use against its digest.
		const workspace = configuration.sheet.findWorkspaceByKeyDigest(computeDigest(key));
		if (!workspace) {
			throw this.createRefusal(configuration, ResultCode.KeyUnknown, 'the key belongs to no workspace');
		}

		return {configuration, workspace};
	}

	/**
	Checks that the caller's workspace has a grant for a service.

	@throws Failure ServiceNotGranted or ConfigurationUnconfirmed
	*/
	checkGrant({configuration, workspace}: AuthenticatedCaller, service: Service): void {
		if (!configuration.sheet.isGranted(workspace.name, service.name)) {
			throw this.createRefusal(configuration, ResultCode.ServiceNotGranted, `workspace ${workspace.name} has no grant for service ${service.name}`);
		}
	}

	/**
	Creates the refusal of a request that a configuration does not allow.

	@returns a failure with the given code, or ConfigurationUnconfirmed if a newer configuration, which may allow the request, is known to exist or may have been accepted unnoticed
	*/
	createRefusal(configuration: Configuration, code: ResultCode, message: string): Failure {
		const newest = this.activeConfiguration.newestKnownVersion;
		if (configuration.version < newest) {
			return new Failure(ResultCode.ConfigurationUnconfirmed, `version ${newest} of the sheet may allow it: ${message}`);
		}

		if (!this.freshness.isReadRecent(this.timers.now())) {
			return new Failure(ResultCode.ConfigurationUnconfirmed, `the table cannot be read, and a newer sheet may allow it: ${message}`);
		}

		return new Failure(code, message);
	}
}
