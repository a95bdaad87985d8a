import {connect} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {ResultCode} from '../src/results/result-code.js';
import {
	createRoutes, drafts, EntryExchangeFixture, lookups, records, routeTimeout, type Upload,
} from './support/entry-exchange-fixture.js';
import {createCatalog, createRoute} from './support/sample-catalog.js';

const patience = 900;
const body = 'prompt';
const refusedStatus = 503;
const refusedText = /"code":68,.*"execution":"not_run"/v;

/** Sends the head of a request and a part of its body, and waits until its body is awaited. */
async function beginUpload(fixture: EntryExchangeFixture, path: string, callerPatience?: number): Promise<Upload> {
	const upload = fixture.upload(path, callerPatience);
	upload.request.write(body.slice(0, 3));
	await fixture.waitForPending(1);
	return upload;
}

/** The log lines of an instance that say what became of its requests. */
function getOutcomes({log}: EntryExchangeFixture): readonly unknown[] {
	return log.lines.filter(({kind}) => kind.startsWith('request.')).map(({kind, fields}) => [kind, fields.code]);
}

for (const path of [lookups, records, drafts]) {
	for (const [title, callerPatience] of [['the timeout of its route', undefined], ['its caller gives up', patience]] as const) {
		// Guards against requests that are never answered because their body never ends, and against those that are sent to a server after their deadline.
		test(`a request whose body is not complete when ${title} is refused then, as not run: ${path}`, async t => {
			const fixture = await EntryExchangeFixture.start(t);
			const upload = await beginUpload(fixture, path, callerPatience);
			fixture.timers.advance((callerPatience ?? routeTimeout) * 0.95);
			t.deepEqual(getOutcomes(fixture), []);
			fixture.timers.advance((callerPatience ?? routeTimeout) * 0.05);
			const {status, text} = await fixture.receive(upload);
			t.is(status, refusedStatus);
			t.regex(text, refusedText);
			upload.request.end(body.slice(3));
			await fixture.waitForPending(0);
			t.is(fixture.sent.length, 0);
			t.deepEqual(getOutcomes(fixture), [['request.refused', ResultCode.DeadlineUnreachable]]);
		});
	}
}

// Guards against requests that are accepted and sent to a server after their deadline, with no time left.
test('a request whose body is complete after its deadline, before the timer has ended it, is sent to no server', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const upload = await beginUpload(fixture, lookups, patience);
	fixture.timers.now = () => patience;
	upload.request.end(body.slice(3));
	const {status, text} = await fixture.receive(upload);
	t.is(status, refusedStatus);
	t.regex(text, refusedText);
	t.is(fixture.sent.length, 0);
});

// Guards against the rest of a refused body that is taken for another request.
test('the connection of a request that was refused at its deadline takes the rest of its body, and then another request', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const inner = `POST ${lookups}smuggled HTTP/1.1\r\nhost: site\r\nx-api-key: key-1\r\ncontent-length: 0\r\n\r\n`;
	const socket = connect(fixture.port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
	});
	let replies = '';
	socket.setEncoding('utf8');
	socket.on('data', text => {
		replies += String(text);
	});
	socket.write(`POST ${lookups} HTTP/1.1\r\nhost: site\r\nx-api-key: key-1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n`);
	await fixture.waitForPending(1);
	fixture.timers.advance(routeTimeout);
	await fixture.waitUntil(() => replies.includes('not_run'));
	// More than is buffered of a body that nobody reads.
	for (let count = 0; count < 5000; count++) {
		socket.write(`${inner.length.toString(16)}\r\n${inner}\r\n`);
	}

	socket.write('0\r\n\r\n');
	socket.write(`POST ${lookups}next HTTP/1.1\r\nhost: site\r\nx-api-key: key-1\r\ncontent-length: 0\r\n\r\n`);
	await fixture.waitUntil(() => fixture.sent.length > 0);
	t.deepEqual(fixture.sent.map(({attempt}) => attempt.request.target), [`${lookups}next`]);
	fixture.timers.advance(routeTimeout);
	await fixture.waitUntil(() => replies.includes('504'));
});

// Guards against requests that are held for a newer configuration beyond the timeout of their route.
test('a request that waits for a newer configuration is refused at the timeout of its route', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const timeout = 300;
	fixture.currency = {isBehind: true, age: 0};
	fixture.apply({...createCatalog(2, createRoutes({timeout})), workspaces: []});
	const upload = fixture.upload(lookups);
	upload.request.end(body);
	await fixture.waitForPending(1);
	while (fixture.timers.now() < timeout) {
		t.deepEqual(getOutcomes(fixture), []);
		fixture.timers.advance(20);
		await setImmediate(); // eslint-disable-line no-await-in-loop
	}

	const {status, text} = await fixture.receive(upload);
	t.is(status, 503);
	t.regex(text, /"execution":"not_run"/v);
	t.is(fixture.sent.length, 0);
});

// Guards against requests that are sent to a server after their deadline because they were held for long.
test('a request that a newer configuration allows only after its deadline is sent to no server', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	fixture.currency = {isBehind: true, age: 0};
	const upload = fixture.upload('/later/');
	upload.request.end(body);
	await fixture.waitForPending(1);
	fixture.timers.advance(100);
	fixture.apply(createCatalog(2, [createRoute('/later/', {timeout: 90})]));
	fixture.timers.advance(20);
	const {status, text} = await fixture.receive(upload);
	t.is(status, refusedStatus);
	t.regex(text, refusedText);
	t.is(fixture.sent.length, 0);
});

test('a timeout that a newer configuration lengthens while a body arrives decides when the request is refused', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const upload = await beginUpload(fixture, lookups);
	fixture.apply(createCatalog(2, createRoutes({timeout: routeTimeout * 2})));
	fixture.timers.advance(routeTimeout);
	upload.request.end(body.slice(3));
	await fixture.waitUntil(() => fixture.sent.length > 0);
	t.is(fixture.sent[0].attempt.remaining, routeTimeout);
	fixture.timers.advance(routeTimeout);
	const {status} = await fixture.receive(upload);
	t.is(status, 504);
});

test('a timeout that a newer configuration shortens while a body arrives decides whether the request is sent', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const upload = await beginUpload(fixture, lookups);
	fixture.timers.advance(routeTimeout / 2);
	fixture.apply(createCatalog(2, createRoutes({timeout: routeTimeout / 2})));
	upload.request.end(body.slice(3));
	const {status, text} = await fixture.receive(upload);
	t.is(status, refusedStatus);
	t.regex(text, refusedText);
	t.is(fixture.sent.length, 0);
});
