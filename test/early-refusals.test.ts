import {connect} from 'node:net';
import test from 'ava';
import {getApiKey} from '../harness/sheet-text.js';
import {CallerEntry} from './support/caller-entry.js';
import {EntryExchangeFixture, records} from './support/entry-exchange-fixture.js';
import {EntryFixture} from './support/entry-fixture.js';
import {sendFromWritingCaller, type WritingCallerOutcome} from './support/writing-caller.js';

const bodyBytes = 12_000_000;
const callCount = 10;

async function sendRepeatedly(port: number, head: string): Promise<readonly WritingCallerOutcome[]> {
	const outcomes: WritingCallerOutcome[] = [];
	for (let call = 0; call < callCount; call++) {
		outcomes.push(await sendFromWritingCaller(port, `${head}Content-Length: ${bodyBytes}||`, bodyBytes)); // eslint-disable-line no-await-in-loop
	}

	return outcomes;
}

for (const [title, version, header] of [['Connection: close', '1.1', 'Connection: close|'], ['HTTP/1.0', '1.0', '']] as const) {
	// Guards against refusals that are lost with a reset, because the caller wants its connection closed and its body is still on its way.
	test.serial(`a refusal reaches a caller that is still writing: ${title}`, async t => {
		const entry = await EntryFixture.start(t);
		const outcomes = await sendRepeatedly(entry.port, `POST /drafts/1 HTTP/${version}|Host: a|X-Id: r1|${header}`);
		t.deepEqual(outcomes.map(({status}) => status), outcomes.map(() => '413'));
	});
}

for (const [title, isDraining, key, expected] of [['too large', false, getApiKey('insider'), '413'], ['unknown key, at a planned stop', true, 'nobody', '401']] as const) {
	// Guards against refusals of the own interface that are lost with a reset, because they close the connection while the body is still on its way.
	test.serial(`a refusal of the own interface reaches a caller that is still writing: ${title}`, async t => {
		const entry = await CallerEntry.start(t);
		if (isDraining) {
			entry.lifecycle.requestStop();
		}

		const outcomes = await sendRepeatedly(entry.port, `POST /v1/chat/completions HTTP/1.1|Host: a|Authorization: Bearer ${key}|`);
		t.deepEqual(outcomes.map(({status}) => status), outcomes.map(() => expected));
	});
}

// Guards against a request that runs and gets the refusal of the input behind it, which says that it did not run.
test.serial('malformed input behind a request in progress is not answered in its place', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const socket = connect(fixture.port, '127.0.0.1');
	let received = '';
	socket.setEncoding('latin1');
	socket.on('error', () => undefined);
	socket.on('data', (text: string) => {
		received += text;
	});
	socket.write(`POST ${records} HTTP/1.1\r\nhost: site\r\nx-api-key: key-1\r\ncontent-length: 0\r\n\r\n`);
	await fixture.waitUntil(() => fixture.sent.length > 0);
	socket.write('nonsense\r\n\r\n');
	await fixture.waitUntil(() => socket.readableEnded || socket.destroyed);
	t.is(received, '');
});

// Guards against planned stops that are held by callers which have their refusals: the rest of their bodies may never come.
test.serial('a refusal whose body does not come ends its connection soon', async t => {
	const entry = await EntryFixture.start(t);
	entry.lifecycle.requestStop();
	entry.lifecycle.refuseRequests();
	const caller = await entry.connect();
	caller.socket.write('POST /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: 100\r\n\r\nx');
	await entry.waitUntil(() => caller.received.endsWith('}'));
	const refusedAt = entry.timers.now();
	await entry.waitUntil(() => entry.server.openReplies === 0);
	t.true(entry.timers.now() - refusedAt < 5000);
});
