import {connect} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {sampleResponseHead} from './support/exchange-fixture.js';
import {drafts, EntryExchangeFixture, lookups} from './support/entry-exchange-fixture.js';

/** Number of sockets that this process has open, those of servers aside. */
function countSockets(): number {
	return process.getActiveResourcesInfo().filter(name => name === 'TCPSocketWrap').length;
}

for (const [title, path, event] of [
	['before its reply begins', lookups, ''],
	['while its reply is on its way', drafts, 'id: 1\ndata: first\n\n'],
	['while its reply is blocked', drafts, `id: 1\ndata: ${'x'.repeat(20_000_000)}\n\n`],
] as const) {
	// Guards against connections that are never closed, each of which costs a file descriptor until the process can accept none.
	test.serial(`the connection of a caller that leaves is closed: ${title}`, async t => {
		const fixture = await EntryExchangeFixture.start(t);
		const count = countSockets();
		const socket = connect(fixture.port, '127.0.0.1');
		// A connection with unread data would be reset by its end.
		if (event.length > 1000) {
			socket.pause();
		} else {
			socket.resume();
		}

		socket.write(`POST ${path} HTTP/1.1\r\nhost: site\r\nx-api-key: key-1\r\ncontent-length: 0\r\n\r\n`);
		await fixture.waitUntil(() => fixture.sent.length > 0);
		if (event !== '') {
			fixture.latest.onHead(sampleResponseHead);
			fixture.latest.onData(new TextEncoder().encode(event));
			await fixture.waitUntil(() => socket.bytesRead > 0 || event.length > 1000);
		}

		socket.end();
		await fixture.waitUntil(() => fixture.exchanges.size === 0);
		socket.destroy();
		await fixture.waitUntil(() => countSockets() <= count);
		t.is(fixture.cancelCount, 1);
	});
}
