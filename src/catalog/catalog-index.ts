import {createHash} from 'node:crypto';
import {type Catalog} from './catalog.js';
import {type Route} from './route.js';
import {type Workspace} from './workspace.js';

/** The digest under which a key is looked up; keys themselves are not compared. */
function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}

/** Finds routes and workspaces of one catalog without searching through all of them. */
export class CatalogIndex {
	private readonly routes = new Map<string, Map<string, Route>>();
	private readonly workspaces = new Map<string, Workspace>();

	constructor(readonly catalog: Catalog) {
		for (const route of catalog.routes) {
			const prefixes = this.routes.get(route.host) ?? new Map<string, Route>();
			prefixes.set(route.pathPrefix, route);
			this.routes.set(route.host, prefixes);
		}

		for (const workspace of catalog.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.workspaces.set(digestOf(key), workspace);
			}
		}
	}

	/** Whether callers must send keys on routes that are not anonymous. */
	get needsKeys(): boolean {
		return this.catalog.workspaces !== undefined;
	}

	/**
	The route of the host with the longest prefix that begins the path.

	@param host - the host without a port, in lower case
	@param path - the path without a query
	*/
	findRoute(host: string, path: string): Route | undefined {
		const prefixes = this.routes.get(host);
		if (!prefixes) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}
		}

		return undefined;
	}

	/** The workspace that holds a key; undefined where none does. */
	findWorkspace(key: string): Workspace | undefined {
		return this.workspaces.get(digestOf(key));
	}
}
