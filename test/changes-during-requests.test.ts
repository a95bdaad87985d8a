import test, {type ExecutionContext} from 'ava';
import {type Catalog} from '../src/catalog/catalog.js';
import {RequestKind} from '../src/catalog/request-kind.js';
import {sampleResponseHead} from './support/exchange-fixture.js';
import {
	createRoutes, drafts, EntryExchangeFixture, lookups, records, routeTimeout, type Received,
} from './support/entry-exchange-fixture.js';
import {createCatalog, createRoute} from './support/sample-catalog.js';

type Change = {
	readonly title: string;
	/** The configurations that come into force between the head and the body of a request, in order. */
	readonly catalogs: readonly Catalog[];
	/** Connections that each service allows, by the last configuration. */
	readonly maxConnections?: number;
	/** The service of lookups by the last configuration; undefined if they are refused. */
	readonly service?: string;
	/** The status with which lookups are answered or refused. */
	readonly status: number;
	/** Whether only the configuration in force can justify the refusal. */
	readonly needsCurrency?: boolean;
};

const body = 'prompt';
const routes = createRoutes();
const paths = [lookups, records, drafts];
const manyRoutes = Array.from({length: 900}, (_, index) => createRoute(`/added-${index}/`));
const manyWorkspaces = Array.from({length: 300}, (_, index) => ({name: `team-${index}`, keys: [`key-of-${index}`], priority: 0}));

function withoutService(catalog: Catalog, name: string): Catalog {
	return {...catalog, services: new Map([...catalog.services].filter(([service]) => service !== name))};
}

/** A configuration whose routes have a service without weight and another one with all of it. */
function splitBetween(former: string, present: string): Catalog {
	return createCatalog(2, createRoutes({targets: [{service: former, weight: 0}, {service: present, weight: 1}]}));
}

const changes: readonly Change[] = [
	{
		title: 'the route is gone', catalogs: [createCatalog(2, [])], status: 404, needsCurrency: true,
	},
	{
		title: 'the route is gone and comes back', catalogs: [createCatalog(2, []), createCatalog(3, routes)], service: 'a', status: 200,
	},
	{
		title: 'the route goes to another service', catalogs: [createCatalog(2, createRoutes({targets: [{service: 'b', weight: 1}]}))], service: 'b', status: 200,
	},
	{
		title: 'the weights move the requests to another service', catalogs: [splitBetween('a', 'b')], service: 'b', status: 200,
	},
	{
		title: 'the weights move the requests away from a service that is not known', catalogs: [splitBetween('c', 'a')], service: 'a', status: 200,
	},
	{
		title: 'the service is not known any more', catalogs: [withoutService(createCatalog(2, routes), 'a')], status: 503,
	},
	{
		title: 'the requests become streams', catalogs: [createCatalog(2, createRoutes({kind: RequestKind.Streaming, targets: [{service: 'model', weight: 1}]}))], service: 'model', status: 504,
	},
	{
		title: 'the workspace is gone', catalogs: [{...createCatalog(2, routes), workspaces: []}], status: 401, needsCurrency: true,
	},
	{
		title: 'the key moves to another workspace', catalogs: [{...createCatalog(2, routes), workspaces: [{name: 'other', keys: ['key-1'], priority: 3}]}], service: 'a', status: 200,
	},
	{
		title: 'no keys are needed any more', catalogs: [{...createCatalog(2, routes), workspaces: undefined}], service: 'a', status: 200,
	},
	{
		title: 'the services allow no connections', catalogs: [createCatalog(2, routes)], maxConnections: 0, status: 503,
	},
	{
		title: 'the services allow fewer connections', catalogs: [createCatalog(2, routes)], maxConnections: 1, service: 'a', status: 200,
	},
	{
		title: 'a large configuration', catalogs: [{...createCatalog(2, [...manyRoutes, ...routes]), workspaces: [...manyWorkspaces, {name: 'team', keys: ['key-1']}]}], service: 'a', status: 200,
	},
	{
		title: 'a large configuration without the route', catalogs: [createCatalog(2, manyRoutes)], status: 404, needsCurrency: true,
	},
];

function applyAll(fixture: EntryExchangeFixture, {catalogs, maxConnections}: Change): void {
	for (const catalog of catalogs) {
		fixture.apply(catalog, maxConnections);
	}
}

/** Sends one request on each route, and lets the change come between its head and its body. */
async function sendAround(fixture: EntryExchangeFixture, change: Change): Promise<void> {
	const uploads = paths.map(path => fixture.upload(path));
	for (const {request} of uploads) {
		request.write(body.slice(0, 3));
	}

	await fixture.waitForPending(paths.length);
	applyAll(fixture, change);
	for (const {request} of uploads) {
		request.end(body.slice(3));
	}
}

/** Lets the backend servers answer the plain requests, and time pass until every request is over; returns the replies by path. */
async function receiveAll(fixture: EntryExchangeFixture): Promise<ReadonlyMap<string, Received>> {
	const answered = new Set<unknown>();
	while (fixture.server.pendingRequests > 0 || fixture.exchanges.size > 0) {
		for (const {attempt, listener} of fixture.sent) {
			if (attempt.pipeline === undefined && !answered.has(listener)) {
				answered.add(listener);
				listener.onHead(sampleResponseHead);
				listener.onEnd();
			}
		}

		fixture.timers.advance(20);
		await fixture.turn(); // eslint-disable-line no-await-in-loop
	}

	return fixture.receiveAll();
}

/** Checks that those requests that were sent to no server, and no others, are refused as not run. */
function checkSaysWhatRan(t: ExecutionContext, {sent}: EntryExchangeFixture, replies: ReadonlyMap<string, Received>): void {
	for (const [path, {text}] of replies) {
		t.not(sent.some(({attempt}) => attempt.request.target === path), text.includes('not_run'), path);
	}
}

for (const change of changes) {
	// Guards against requests that get neither an answer nor a refusal because the configuration changes between their head and their body.
	test(`a request between whose head and body the configuration changes is answered or refused: ${change.title}`, async t => {
		const fixture = await EntryExchangeFixture.start(t);
		await sendAround(fixture, change);
		const replies = await receiveAll(fixture);
		t.deepEqual([...replies.keys()], paths);
		t.is(replies.get(lookups)?.status, change.status);
		t.is(fixture.sent.find(({attempt}) => attempt.request.target === lookups)?.attempt.request.service.name, change.service);
		t.true(fixture.timers.now() <= routeTimeout + 20);
		checkSaysWhatRan(t, fixture, replies);
	});

	// Guards against the same, and against a refusal for good, at an instance that knows that there is a newer configuration.
	test(`the same at an instance that is behind: ${change.title}`, async t => {
		const fixture = await EntryExchangeFixture.start(t);
		fixture.currency = {isBehind: true, age: 0};
		await sendAround(fixture, change);
		const replies = await receiveAll(fixture);
		t.deepEqual([...replies.keys()], paths);
		t.is(replies.get(lookups)?.status, change.needsCurrency ? 503 : change.status);
		checkSaysWhatRan(t, fixture, replies);
	});
}
