import {type RandomSource} from '../../src/routing/random-source.js';
import {createSiteConfiguration} from './router-process.js';

type SiteConfiguration = ReturnType<typeof createSiteConfiguration>;
type Change = (configuration: SiteConfiguration, random: RandomSource) => Partial<Record<keyof SiteConfiguration, unknown>>;

const largeRouteCount = 900;
const routeTimeoutsMs = [1500, 3000, 5000];
const idleTimeoutsMs = [5, 30, 100, 300, 1000, 15_000];
const bodyLimitsBytes = [5000, 10_000, 100_000];
const headerTimeoutsMs = [200, 3000];

function addRoutes({routes}: SiteConfiguration, count: number) {
	return [...routes, ...Array.from({length: count}, (_value, index) => ({...routes[2], name: `extra-${index}`, pathPrefix: `/extra-${index}/`}))];
}

/** Each kind of change of the configuration, by name. */
const changes: Readonly<Record<string, Change>> = {
	routesAdded: (configuration, random) => ({routes: addRoutes(configuration, 1 + random.nextInteger(5))}),
	routeRemoved: ({routes}, random) => ({routes: routes.toSpliced(random.nextInteger(routes.length), 1)}),
	weights: ({routes, services}, random) => ({
		routes: routes.map(route => ({...route, service: undefined, trafficSplit: services.map(({name}) => ({service: name, weight: name === route.service ? 1 + random.nextInteger(10) : 0}))})),
	}),
	timeouts: ({routes}, random) => ({routes: routes.map(route => ({...route, timeoutMs: random.pick(routeTimeoutsMs)}))}),
	workspaces: ({tenants}) => ({tenants: [...tenants, {name: 'guests', apiKeys: ['key-2'], priority: 1}]}),
	limits: ({limits}, random) => ({limits: {...limits, maxBodyBytes: random.pick(bodyLimitsBytes), headerTimeoutMs: random.pick(headerTimeoutsMs)}}),
	idleTimeout: ({limits}, random) => ({limits: {...limits, idleTimeoutMs: random.pick(idleTimeoutsMs)}}),
	large: configuration => ({routes: addRoutes(configuration, largeRouteCount)}),
	// Leaves out what the one before added.
	plain: () => ({}),
};

/** A configuration and the kinds of changes in it. */
export type DrawnConfiguration = {
	readonly kinds: readonly string[];
	readonly value: SiteConfiguration;
};

/** Draws a configuration with up to two changes of the usual one. */
export function drawConfiguration(random: RandomSource, version: number): DrawnConfiguration {
	const kinds = [random.pick(Object.keys(changes)), random.pick(Object.keys(changes))];
	const usual = createSiteConfiguration(version);
	const value = {...usual, routes: usual.routes.map(route => ({...route, timeoutMs: Math.max(...routeTimeoutsMs)}))};
	for (const kind of kinds) {
		Object.assign(value, changes[kind](value, random));
	}

	return {kinds, value};
}
