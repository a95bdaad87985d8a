import {type Route, type Stage} from '../backends/stage.js';
import {type Fleet} from './fleet.js';
import {type RouteRequest} from './route-request.js';
import {type ServerState, getLoadedVersion} from './server-state.js';

/** The stage that a server makes. */
export function toStage(server: ServerState): Stage {
	const {listed} = server;
	return {
		server: listed.id, address: listed.address, firstLayer: listed.firstLayer, endLayer: listed.endLayer, version: getLoadedVersion(server),
	};
}

/** Servers from which the last layer can be reached. */
function serversThatReachEnd(servers: readonly ServerState[], layers: number): readonly ServerState[] {
	const boundaries = new Set([layers]);
	const sorted = servers.toSorted((a, b) => b.listed.endLayer - a.listed.endLayer);
	for (const {listed} of sorted) {
		if (boundaries.has(listed.endLayer) && listed.firstLayer < listed.endLayer) {
			boundaries.add(listed.firstLayer);
		}
	}

	return servers.filter(({listed}) => boundaries.has(listed.endLayer) && listed.firstLayer < listed.endLayer);
}

/** Chooses the backend servers that a request crosses, stage by stage; a policy decides among those that fit. */
export abstract class RoutePolicy {
	/**
	Chooses a route over all layers, in order.

	@returns undefined where the usable servers do not cover all layers
	*/
	selectRoute(fleet: Fleet, request: RouteRequest): Route | undefined {
		const usable = fleet.findUsableServers(request.service, request.version, request.now).filter(({listed}) => !request.excluded.has(listed.id));
		const servers = serversThatReachEnd(usable, request.layers);
		const kept = new Set(request.previousRoute.map(({server}) => server));
		const route: Stage[] = [];
		let previous: ServerState | undefined;
		for (let layer = 0; layer < request.layers; layer = previous.listed.endLayer) {
			const candidates = servers.filter(({listed}) => listed.firstLayer === layer);
			if (candidates.length === 0) {
				return undefined;
			}

			previous = candidates.find(({listed}) => kept.has(listed.id)) ?? this.selectServer(candidates, previous, servers, request);
			route.push(toStage(previous));
		}

		return route;
	}

	/**
	Picks the next server.

	@param candidates - servers whose range starts at the next layer; never empty
	@param previous - the server before, undefined at the first stage
	@param servers - all servers that may be used
	*/
	protected abstract selectServer(candidates: readonly ServerState[], previous: ServerState | undefined, servers: readonly ServerState[], request: RouteRequest): ServerState;
}
