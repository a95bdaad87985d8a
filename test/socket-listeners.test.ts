import process from 'node:process';
import test from 'ava';
import {type CallerReply} from '../src/relay/caller-reply.js';
import {EntryFixture} from './support/entry-fixture.js';

const request = 'GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n';
const requests = 20;

function answerEmpty(reply: CallerReply): void {
	reply.onGone(() => undefined);
	reply.begin(200, ['Content-Length', '0']);
	reply.end();
}

/** Records the warnings of the runtime while a test runs. */
function recordWarnings(onEnd: (callback: () => void) => void): readonly string[] {
	const warnings: string[] = [];
	const record = ({name}: Error) => {
		warnings.push(name);
	};

	process.on('warning', record);
	onEnd(() => {
		process.off('warning', record);
	});
	return warnings;
}

// Guards against listeners that stay on a connection after the request that added them.
test.serial('20 requests on one connection, one after the other, leave no listeners on it', async t => {
	const warnings = recordWarnings(callback => {
		t.teardown(callback);
	});
	const entry = await EntryFixture.start(t, {answer: answerEmpty});
	const caller = await entry.connect();
	for (let count = 1; count <= requests; count++) {
		caller.socket.write(request);
		await entry.waitUntil(() => caller.received.split('200 OK').length === count + 1); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(warnings, []);
});

// Guards against a listener for each of the requests that a caller sends without waiting for the replies.
test.serial('20 requests at once on one connection are answered without a warning of the runtime', async t => {
	const warnings = recordWarnings(callback => {
		t.teardown(callback);
	});
	const replies: CallerReply[] = [];
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			replies.push(reply);
			reply.onGone(() => undefined);
		},
	});
	const caller = await entry.connect();
	caller.socket.write(request.repeat(requests));
	await entry.waitUntil(() => replies.length === requests);
	for (const reply of replies) {
		answerEmpty(reply);
	}

	await entry.waitUntil(() => caller.received.split('200 OK').length === requests + 1);
	t.deepEqual(warnings, []);
});

// Guards against replies whose end of the connection is not noticed since they share a listener.
test.serial('a caller that closes its end while 20 requests wait for replies has left all of them', async t => {
	let gone = 0;
	const replies: CallerReply[] = [];
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			replies.push(reply);
			reply.onGone(() => {
				gone++;
			});
		},
	});
	const caller = await entry.connect();
	caller.socket.write(request.repeat(requests));
	await entry.waitUntil(() => replies.length === requests);
	caller.socket.end();
	await entry.waitUntil(() => gone === requests);
	t.is(gone, requests);
});
