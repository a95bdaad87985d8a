import {type Catalog} from '../../src/catalog/catalog.js';
import {RequestKind} from '../../src/catalog/request-kind.js';
import {type Route} from '../../src/catalog/route.js';

/** Creates a route of host `site` to service `a`. */
export function createRoute(pathPrefix: string, changes: Partial<Route> = {}): Route {
	return {
		name: pathPrefix,
		host: 'site',
		pathPrefix,
		kind: RequestKind.Idempotent,
		timeout: 1000,
		priority: 1,
		targets: [{service: 'a', weight: 1}],
		maxExecutions: 2,
		isAnonymous: false,
		isResumable: false,
		latencyTarget: 300,
		callerIdleTimeout: 2000,
		...changes,
	};
}

/** Creates a catalog with the services `a` and `b` and a workspace with the keys `key-1` and `key-2`. */
export function createCatalog(version: number, routes: readonly Route[]): Catalog {
	return {
		version,
		text: '',
		routes,
		services: new Map(['a', 'b'].map(name => [name, {name, healthPath: '/healthz', maxConnections: 1}])),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
		},
		workspaces: [{name: 'team', keys: ['key-1', 'key-2'], priority: 0}],
	};
}
