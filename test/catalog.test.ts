import test from 'ava';
import {ActiveCatalog} from '../src/catalog/active-catalog.js';
import {CatalogIndex} from '../src/catalog/catalog-index.js';
import {RequestKind} from '../src/catalog/request-kind.js';
import {RequestAuthorizer} from '../src/entry/request-authorizer.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {decodeCatalog} from '../platform/catalog-decoder.js';
import {RecordingLog} from './support/sample-fleet.js';
import {createSiteConfiguration} from './support/router-process.js';
import {createCatalog, createRoute} from './support/sample-catalog.js';

/** Returns the code of the `Failure` that the function throws; undefined if it throws none. */
function catchCode(action: () => unknown): ResultCode | undefined {
	try {
		action();
		return undefined;
	} catch (error) {
		return error instanceof Failure ? error.code : undefined;
	}
}

test('the longest matching path prefix selects the route, also among hundreds of routes', t => {
	const many = Array.from({length: 400}, (_, index) => createRoute(`/many${index}/`));
	const index = new CatalogIndex(createCatalog(1, [createRoute('/a/'), createRoute('/a/b/'), ...many]));
	t.is(index.findRoute('site', '/a/b/c')?.name, '/a/b/');
	t.is(index.findRoute('site', '/a/bc')?.name, '/a/');
	t.is(index.findRoute('site', '/a'), undefined);
	t.is(index.findRoute('site', '/many399/x')?.name, '/many399/');
	t.is(index.findRoute('other', '/a/b/'), undefined);
});

test('a catalog that is not newer than the active one is ignored', t => {
	const active = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	t.true(active.apply(createCatalog(7, []), 'store'));
	t.false(active.apply(createCatalog(7, []), 'peer'));
	t.false(active.apply(createCatalog(3, []), 'peer'));
	t.true(active.apply(createCatalog(9, []), 'peer'));
	t.is(active.version, 9);
});

test('a request before the first catalog is refused as not ready, not as unknown', t => {
	const authorizer = new RequestAuthorizer(new ActiveCatalog(new RecordingLog(), new ManualTimerService()), new RandomSource(1));
	t.is(catchCode(() => authorizer.authorize({host: 'site', target: '/a/'})), ResultCode.NotReady);
});

test('API keys: missing, unknown, valid, not needed on an anonymous route, and revoked', t => {
	const active = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	active.apply(createCatalog(1, [createRoute('/a/'), createRoute('/open/', {isAnonymous: true})]), 'store');
	const authorizer = new RequestAuthorizer(active, new RandomSource(1));
	t.is(catchCode(() => authorizer.authorize({host: 'site', target: '/a/x'})), ResultCode.KeyMissing);
	t.is(catchCode(() => authorizer.authorize({host: 'site', target: '/a/x', apiKey: 'guess'})), ResultCode.KeyUnknown);
	t.is(authorizer.authorize({host: 'SITE:80', target: '/a/x?q=/open/', apiKey: 'key-2'}).workspace?.name, 'team');
	t.is(authorizer.authorize({host: 'site', target: '/open/x'}).workspace, undefined);
	active.apply({...createCatalog(2, [createRoute('/a/')]), workspaces: [{name: 'team', keys: ['key-1']}]}, 'store');
	t.is(catchCode(() => authorizer.authorize({host: 'site', target: '/a/x', apiKey: 'key-2'})), ResultCode.KeyUnknown);
});

test('a route with several targets splits its requests by weight', t => {
	const active = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	active.apply(createCatalog(1, [createRoute('/a/', {isAnonymous: true, targets: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]})]), 'store');
	const authorizer = new RequestAuthorizer(active, new RandomSource(7));
	const selected = Array.from({length: 1000}, () => authorizer.authorize({host: 'site', target: '/a/'}).service.name);
	const share = selected.filter(name => name === 'b').length / selected.length;
	t.true(share > 0.07 && share < 0.13, `${share}`);
});

// Guards against proper requests that are refused because a part of their route's weight is on a service that is gone, although the others are there.
test('the targets of a route that are known get the share of those that are not, in any order', t => {
	for (const names of [['a', 'gone', 'b'], ['gone', 'a', 'b'], ['a', 'b', 'gone']]) {
		const active = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
		active.apply(createCatalog(1, [createRoute('/a/', {isAnonymous: true, targets: names.map(service => ({service, weight: service === 'b' ? 10 : 30}))})]), 'store');
		const authorizer = new RequestAuthorizer(active, new RandomSource(7));
		const selected = Array.from({length: 1000}, () => authorizer.authorize({host: 'site', target: '/a/'}).service.name);
		const share = selected.filter(name => name === 'b').length / selected.length;
		t.true(share > 0.2 && share < 0.3, `${names.join(', ')}: ${share}`);
	}
});

test('the users\' configuration is decoded, and an invalid one is refused', t => {
	const {version, routes, services, workspaces} = decodeCatalog(JSON.stringify(createSiteConfiguration(3)));
	t.is(version, 3);
	t.deepEqual(routes.map(({kind, isResumable}) => [kind, isResumable]), [[RequestKind.Streaming, true], [RequestKind.NonIdempotent, false], [RequestKind.Idempotent, false]]);
	t.is(services.get('svc-model')?.engine?.layers, 80);
	t.is(workspaces?.[0].name, 'inspectors');
	for (const text of ['', '{}', 'null', '{"version":1,"routes":[{}],"services":[],"limits":{}}']) {
		t.throws(() => decodeCatalog(text));
	}
});

test('quantities of the users\' configuration may be fractions; a fraction of an execution is no execution', t => {
	const configuration = createSiteConfiguration(3);
	const [route, ...others] = configuration.routes;
	const {routes, services} = decodeCatalog(JSON.stringify({
		...configuration,
		routes: [{...route, timeoutMs: 4999.5, maxAttempts: 2.5}, ...others],
		services: configuration.services.map(service => ({...service, maxConnections: 91.333})),
	}));
	t.is(routes[0].timeout, 4999.5);
	t.is(routes[0].maxExecutions, 2);
	t.is(services.get('svc-records')?.maxConnections, 91.333);
});
