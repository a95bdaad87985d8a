import test from 'ava';
import {EntryFixture} from './support/entry-fixture.js';

/** Far below the deadline of the requests, in milliseconds. */
const pauseMs = 1000;

// Guards against requests that occupy memory until their deadline although their connections have closed.
test('a request whose connection closes before its body has arrived is forgotten at once', async t => {
	const entry = await EntryFixture.start(t);
	const caller = await entry.connect();
	caller.socket.write('POST /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nx');
	await entry.waitUntil(() => entry.server.pendingRequests === 1);
	caller.socket.resetAndDestroy();
	await entry.timers.sleep(pauseMs);
	t.is(entry.server.pendingRequests, 0);
});
