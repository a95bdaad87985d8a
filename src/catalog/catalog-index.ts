import {createHash} from 'node:crypto';
import {type Catalog} from './catalog.js';
import {type Route} from './route.js';
import {type Workspace} from './workspace.js';

/** Computes the digest by which an API key is looked up; the keys themselves are not compared. */
function computeKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}

/** Indexes the routes and workspaces of one catalog for lookups without a scan. */
export class CatalogIndex {
	private readonly routesByHost = new Map<string, Map<string, Route>>();
	private readonly workspacesByKeyDigest = new Map<string, Workspace>();

	constructor(readonly catalog: Catalog) {
		for (const route of catalog.routes) {
			const routesByPrefix = this.routesByHost.get(route.host) ?? new Map<string, Route>();
			routesByPrefix.set(route.pathPrefix, route);
			this.routesByHost.set(route.host, routesByPrefix);
		}

		for (const workspace of catalog.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.workspacesByKeyDigest.set(computeKeyDigest(key), workspace);
			}
		}
	}

	/** Whether callers must send an API key on routes that are not anonymous. */
	get needsKeys(): boolean {
		return this.catalog.workspaces !== undefined;
	}

	/**
	Finds the route of the host with the longest prefix of the path; undefined if none matches.

	@param host - the host without a port, in lower case
	@param path - the path without a query
	*/
	findRoute(host: string, path: string): Route | undefined {
		const routesByPrefix = this.routesByHost.get(host);
		if (!routesByPrefix) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = routesByPrefix.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}
		}

		return undefined;
	}

	/** Finds the workspace that an API key belongs to; undefined if the key is unknown. */
	findWorkspace(key: string): Workspace | undefined {
		return this.workspacesByKeyDigest.get(computeKeyDigest(key));
	}
}
