import {type CatalogIndex} from '../catalog/catalog-index.js';
import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type Route} from '../catalog/route.js';
import {type Service} from '../catalog/service.js';
import {type Workspace} from '../catalog/workspace.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type RandomSource} from '../routing/random-source.js';

/** What a caller asks for, before it is decided where it goes. */
export type AuthorizationRequest = {
	/** The host with or without a port. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
	readonly apiKey?: string;
};

/** A request that the catalog allows. */
export type AuthorizedRequest = {
	readonly route: Route;
	readonly service: Service;
	readonly workspace?: Workspace;
	/** Version of the catalog that allows it. */
	readonly version: number;
};

const portPattern = /:\d+$/v;

/** Decides by the catalog in force whether a request is allowed and which service gets it. */
export class RequestAuthorizer {
	constructor(private readonly keeper: ActiveCatalog, private readonly random: RandomSource) {}

	/** Throws Failure where the request is refused. */
	authorize({host, target, apiKey: key}: AuthorizationRequest): AuthorizedRequest {
		const index = this.keeper.current;
		if (!index) {
			throw new Failure(ResultCode.NotReady, 'no configuration has been read yet');
		}

		const query = target.indexOf('?');
		const path = query === -1 ? target : target.slice(0, query);
		const route = index.findRoute(host.replace(portPattern, '').toLowerCase(), path);
		if (!route) {
			throw new Failure(ResultCode.PathUnknown, `no route of version ${index.catalog.version} matches`);
		}

		const workspace = this.workspaceOf(index, route, key);
		return {
			route, workspace, service: this.serviceOf(index, route), version: index.catalog.version,
		};
	}

	private workspaceOf(index: CatalogIndex, route: Route, key: string | undefined): Workspace | undefined {
		if (route.isAnonymous || !index.needsKeys) {
			return undefined;
		}

		if (!key) {
			throw new Failure(ResultCode.KeyMissing, 'the request carries no key');
		}

		const workspace = index.findWorkspace(key);
		if (!workspace) {
			throw new Failure(ResultCode.KeyUnknown, `the key belongs to no workspace of version ${index.catalog.version}`);
		}

		return workspace;
	}

	private serviceOf(index: CatalogIndex, route: Route): Service {
		const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
		let at = this.random.nextFraction() * total;
		for (const {service, weight} of route.targets) {
			at -= weight;
			const found = index.catalog.services.get(service);
			if (found && at < 0) {
				return found;
			}
		}

		throw new Failure(ResultCode.NoPipeline, `route ${route.name} names no known service`);
	}
}
