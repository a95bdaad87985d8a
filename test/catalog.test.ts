import test from 'ava';
import {CatalogIndex} from '../src/catalog/catalog-index.js';
import {ActiveCatalog} from '../src/catalog/active-catalog.js';
import {type Catalog} from '../src/catalog/catalog.js';
import {RequestKind} from '../src/catalog/request-kind.js';
import {type Route} from '../src/catalog/route.js';
import {RequestAuthorizer} from '../src/entry/request-authorizer.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {decodeCatalog} from '../platform/catalog-decoder.js';
import {RecordingLog} from './support/sample-fleet.js';
import {createSiteConfiguration} from './support/router-process.js';

function route(pathPrefix: string, changes: Partial<Route> = {}): Route {
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

function catalog(version: number, routes: readonly Route[]): Catalog {
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

function codeOf(work: () => unknown): ResultCode | undefined {
	try {
		work();
		return undefined;
	} catch (error) {
		return error instanceof Failure ? error.code : undefined;
	}
}

test('the longest prefix that begins the path selects the route, also among hundreds', t => {
	const many = Array.from({length: 400}, (_, index) => route(`/many${index}/`));
	const index = new CatalogIndex(catalog(1, [route('/a/'), route('/a/b/'), ...many]));
	t.is(index.findRoute('site', '/a/b/c')?.name, '/a/b/');
	t.is(index.findRoute('site', '/a/bc')?.name, '/a/');
	t.is(index.findRoute('site', '/a'), undefined);
	t.is(index.findRoute('site', '/many399/x')?.name, '/many399/');
	t.is(index.findRoute('other', '/a/b/'), undefined);
});

test('in a storm of configurations versions only rise', t => {
	const keeper = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	t.true(keeper.apply(catalog(7, []), 'store'));
	t.false(keeper.apply(catalog(7, []), 'peer'));
	t.false(keeper.apply(catalog(3, []), 'peer'));
	t.true(keeper.apply(catalog(9, []), 'peer'));
	t.is(keeper.version, 9);
});

test('before any configuration a request is refused as not ready, not as unknown', t => {
	const gate = new RequestAuthorizer(new ActiveCatalog(new RecordingLog(), new ManualTimerService()), new RandomSource(1));
	t.is(codeOf(() => gate.authorize({host: 'site', target: '/a/'})), ResultCode.NotReady);
});

test('keys: none, unknown, revoked, valid, and not needed on an anonymous route', t => {
	const keeper = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	keeper.apply(catalog(1, [route('/a/'), route('/open/', {isAnonymous: true})]), 'store');
	const gate = new RequestAuthorizer(keeper, new RandomSource(1));
	t.is(codeOf(() => gate.authorize({host: 'site', target: '/a/x'})), ResultCode.KeyMissing);
	t.is(codeOf(() => gate.authorize({host: 'site', target: '/a/x', apiKey: 'guess'})), ResultCode.KeyUnknown);
	t.is(gate.authorize({host: 'SITE:80', target: '/a/x?q=/open/', apiKey: 'key-2'}).workspace?.name, 'team');
	t.is(gate.authorize({host: 'site', target: '/open/x'}).workspace, undefined);
	keeper.apply({...catalog(2, [route('/a/')]), workspaces: [{name: 'team', keys: ['key-1']}]}, 'store');
	t.is(codeOf(() => gate.authorize({host: 'site', target: '/a/x', apiKey: 'key-2'})), ResultCode.KeyUnknown);
});

test('a split route sends to its services by weight', t => {
	const keeper = new ActiveCatalog(new RecordingLog(), new ManualTimerService());
	keeper.apply(catalog(1, [route('/a/', {isAnonymous: true, targets: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]})]), 'store');
	const gate = new RequestAuthorizer(keeper, new RandomSource(7));
	const sent = Array.from({length: 1000}, () => gate.authorize({host: 'site', target: '/a/'}).service.name);
	const share = sent.filter(name => name === 'b').length / sent.length;
	t.true(share > 0.07 && share < 0.13, `${share}`);
});

test('the users\' configuration is decoded, and what is none is refused', t => {
	const {version, routes, services, workspaces} = decodeCatalog(JSON.stringify(createSiteConfiguration(3)));
	t.is(version, 3);
	t.deepEqual(routes.map(({kind, isResumable}) => [kind, isResumable]), [[RequestKind.Streaming, true], [RequestKind.NonIdempotent, false], [RequestKind.Idempotent, false]]);
	t.is(services.get('svc-model')?.engine?.layers, 80);
	t.is(workspaces?.[0].name, 'inspectors');
	for (const text of ['', '{}', 'null', '{"version":1,"routes":[{}],"services":[],"limits":{}}']) {
		t.throws(() => decodeCatalog(text));
	}
});
