import {type Stage} from '../backends/stage.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type TimerService} from '../time/timer-service.js';
import {type Fleet} from './fleet.js';
import {computeMaximumFlow} from './maximum-flow.js';
import {computeLoad, getTokenRate} from './server-load.js';
import {getLoadedVersion} from './server-state.js';
import {type RoutePolicy} from './route-policy.js';

/** A server that could be part of a route. */
export type RouteCandidate = {
	readonly server: string;
	readonly layers: string;
	readonly tokenRate: number;
	/** Tokens per second that the maximum flow assigns to the server. */
	readonly flow: number;
	/** Requests on the server relative to its token rate. */
	readonly load: number;
	readonly isUsable: boolean;
	readonly reason: string;
};

/** The route that a request would take now, and why. */
export type RouteExplanation = {
	readonly model: string;
	readonly service: string;
	readonly version: string;
	/** Maximum tokens per second that the usable servers and their links can carry. */
	readonly bound: number;
	readonly route: readonly Stage[];
	readonly candidates: readonly RouteCandidate[];
	readonly reason: string;
};

/** Explains routing decisions to operators. */
export class RouteExplainer {
	constructor(
		private readonly configuration: ActiveConfiguration,
		private readonly fleet: Fleet,
		private readonly policy: RoutePolicy,
		private readonly timers: TimerService,
	) {}

	/** The route that a request for a model would take now, with all candidate servers of the service. */
	explain(model: string): RouteExplanation {
		const service = this.configuration.current()?.sheet.findServiceByModel(model);
		if (!service) {
			return {
				model, service: '', version: '', bound: 0, route: [], candidates: [], reason: 'no service of the sheet serves the model',
			};
		}

		const now = this.timers.now();
		const maximumFlow = computeMaximumFlow(this.fleet.findUsableServers(service.name, service.version, now), service.layers);
		const route = this.policy.selectRoute(this.fleet, {
			service: service.name, version: service.version, layers: service.layers, excluded: new Set(), previousRoute: [], now,
		});
		const candidates = [...this.fleet.getServers()].filter(({listed}) => listed.service === service.name).map(server => ({
			server: server.listed.id,
			layers: `${server.listed.firstLayer}-${server.listed.endLayer}`,
			tokenRate: getTokenRate(server),
			flow: maximumFlow.servers.get(server.listed.id) ?? 0,
			load: computeLoad(server),
			isUsable: this.fleet.isUsable(server, now) && getLoadedVersion(server) === service.version,
			reason: this.fleet.explainUnusable(server, service.version, now),
		}));
		return {
			model,
			service: service.name,
			version: service.version,
			bound: maximumFlow.total,
			route: route ?? [],
			candidates,
			reason: route ? 'drawn by the maximum flow, the less loaded of two' : 'no pipeline of usable servers covers the layers',
		};
	}
}
