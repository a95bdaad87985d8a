import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type CatalogIndex} from '../catalog/catalog-index.js';
import {type Route} from '../catalog/route.js';
import {type Service} from '../catalog/service.js';
import {type Workspace} from '../catalog/workspace.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type RandomSource} from '../routing/random-source.js';

/** The parts of a request that decide its route and whether it is allowed. */
export type AuthorizationRequest = {
	/** Value of the Host header, with or without a port. */
	readonly host: string;
	/** Request target: path and query. */
	readonly target: string;
	readonly apiKey?: string;
};

/** The route, service and workspace of a request that is allowed. */
export type AuthorizedRequest = {
	readonly route: Route;
	readonly service: Service;
	readonly workspace?: Workspace;
	/** Version of the catalog that the decision is based on. */
	readonly version: number;
};

const portPattern = /:\d+$/v;

/** Checks requests against the active catalog and selects the service for each. */
export class RequestAuthorizer {
	constructor(private readonly activeCatalog: ActiveCatalog, private readonly random: RandomSource) {}

	/** Authorizes a request. Throws Failure if it is refused. */
	authorize(request: AuthorizationRequest): AuthorizedRequest {
		const index = this.activeCatalog.current;
		if (!index) {
			throw new Failure(ResultCode.NotReady, 'no configuration has been loaded yet');
		}

		const route = this.findRoute(index, request);
		if (!route) {
			throw new Failure(ResultCode.PathUnknown, `no route in configuration version ${index.catalog.version} matches`);
		}

		const workspace = this.authenticateWorkspace(index, route, request.apiKey);
		return {
			route, workspace, service: this.selectService(index, route), version: index.catalog.version,
		};
	}

	/** Returns the timeout in milliseconds of the route of a request, whether it is allowed or not; undefined if no route matches. */
	findTimeout(request: AuthorizationRequest): number | undefined {
		const index = this.activeCatalog.current;
		return index && this.findRoute(index, request)?.timeout;
	}

	private findRoute(index: CatalogIndex, {host, target}: AuthorizationRequest): Route | undefined {
		const queryStart = target.indexOf('?');
		const path = queryStart === -1 ? target : target.slice(0, queryStart);
		return index.findRoute(host.replace(portPattern, '').toLowerCase(), path);
	}

	private authenticateWorkspace(index: CatalogIndex, route: Route, apiKey: string | undefined): Workspace | undefined {
		if (route.isAnonymous || !index.needsKeys) {
			return undefined;
		}

		if (!apiKey) {
			throw new Failure(ResultCode.KeyMissing, 'the request has no API key');
		}

		const workspace = index.findWorkspace(apiKey);
		if (!workspace) {
			throw new Failure(ResultCode.KeyUnknown, `the API key does not belong to a workspace in configuration version ${index.catalog.version}`);
		}

		return workspace;
	}

	private selectService(index: CatalogIndex, route: Route): Service {
		const known = route.targets.flatMap(({service: name, weight}) => {
			const service = index.catalog.services.get(name);
			return service ? [{service, weight}] : [];
		});
		let remainder = this.random.nextFraction() * known.reduce((sum, {weight}) => sum + weight, 0);
		for (const {service, weight} of known) {
			remainder -= weight;
			if (remainder < 0) {
				return service;
			}
		}

		throw new Failure(ResultCode.NoPipeline, `route ${route.name} refers to no known service`);
	}
}
