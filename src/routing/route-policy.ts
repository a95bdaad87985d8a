import {type Route, type Stage} from '../backends/stage.js';
import {type Fleet} from './fleet.js';
import {type RouteRequest} from './route-request.js';
import {type ServerState, getLoadedVersion} from './server-state.js';

/** Converts a server to a stage of a route. */
export function toStage(server: ServerState): Stage {
	const {listed} = server;
	return {
		server: listed.id, address: listed.address, firstLayer: listed.firstLayer, endLayer: listed.endLayer, version: getLoadedVersion(server),
	};
}

/** Filters the servers from which a chain of layer ranges leads to the last layer. */
function filterServersReachingEnd(servers: readonly ServerState[], layers: number): readonly ServerState[] {
	const boundaries = new Set([layers]);
	const sorted = servers.toSorted((a, b) => b.listed.endLayer - a.listed.endLayer);
	for (const {listed} of sorted) {
		if (boundaries.has(listed.endLayer) && listed.firstLayer < listed.endLayer) {
			boundaries.add(listed.firstLayer);
		}
	}

	return servers.filter(({listed}) => boundaries.has(listed.endLayer) && listed.firstLayer < listed.endLayer);
}

/** Selects the backend servers of a request's route, stage by stage. Subclasses select one of the candidates for each stage. */
export abstract class RoutePolicy {
	/**
	Selects a route that covers all layers in order.

	@returns undefined if the usable servers do not cover all layers
	*/
	selectRoute(fleet: Fleet, request: RouteRequest): Route | undefined {
		const usable = fleet.findUsableServers(request.service, request.version, request.now).filter(({listed}) => !request.excluded.has(listed.id));
		const servers = filterServersReachingEnd(usable, request.layers);
		const preferredServers = new Set(request.previousRoute.map(({server}) => server));
		const route: Stage[] = [];
		let previous: ServerState | undefined;
		for (let layer = 0; layer < request.layers; layer = previous.listed.endLayer) {
			const candidates = servers.filter(({listed}) => listed.firstLayer === layer);
			if (candidates.length === 0) {
				return undefined;
			}

			previous = candidates.find(({listed}) => preferredServers.has(listed.id)) ?? this.selectServer(candidates, previous, servers, request);
			route.push(toStage(previous));
		}

		return route;
	}

	/**
	Selects the server of the next stage.

	@param candidates - servers whose range starts at the next layer; never empty
	@param previous - the server of the previous stage; undefined for the first stage
	@param servers - all servers that the route may use
	*/
	protected abstract selectServer(candidates: readonly ServerState[], previous: ServerState | undefined, servers: readonly ServerState[], request: RouteRequest): ServerState;
}
