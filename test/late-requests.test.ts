import {request as startRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import test from 'ava';
import {CallerEntry} from './support/caller-entry.js';
import {RouterProcess} from './support/router-process.js';

type Upload = {
	readonly request: ClientRequest;
	readonly response: Promise<{readonly status: number; readonly text: string; readonly retryAfter?: string}>;
};

const body = 'prompt';

async function readText(message: IncomingMessage): Promise<string> {
	let text = '';
	for await (const chunk of message) {
		text += String(chunk);
	}

	return text;
}

/** Sends the head of a request and half of its body. */
function beginUpload(port: number, target: string): Upload {
	const request = startRequest({
		host: '127.0.0.1',
		port,
		path: target,
		method: 'POST',
		headers: {
			host: 'site.example',
			'siskinnotch-attempt-id': `upload-${target}`,
			'siskinnotch-deadline-remaining': '5000',
			'siskinnotch-token-usage': '100,50',
			'x-api-key': 'key-1',
			'content-length': body.length,
		},
	});
	const response = new Promise<Awaited<Upload['response']>>((resolve, reject) => {
		request.on('error', reject);
		request.on('response', message => {
			void (async () => {
				resolve({status: message.statusCode ?? 0, text: await readText(message), retryAfter: message.headers['retry-after']});
			})();
		});
	});
	request.write(body.slice(0, 3));
	return {request, response};
}

// Guards against requests that are passed on late in the grace period of a stop, when there is no time left to answer them.
test.serial('a request whose body arrives after the notice period of a graceful shutdown is refused as not run, and reaches no server', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	// Keeps the process running until the uploads are answered.
	for (const stage of router.stages) {
		stage.behaviour.pause = 400;
	}

	const sending = router.send('/drafts/0');
	await router.waitUntil(() => router.stages.some(({receivedRequests: arrivals}) => arrivals.length > 0));
	const uploads = ['/records/1', '/lookups/1', '/drafts/1'].map(target => beginUpload(router.callersPort, target));
	await router.timers.sleep(100);
	router.signal('SIGTERM');
	await router.timers.sleep(700);
	for (const {request} of uploads) {
		request.end(body.slice(3));
	}

	for (const {status, text, retryAfter} of await Promise.all(uploads.map(async ({response}) => response))) {
		t.is(status, 503);
		t.regex(text, /"execution":"not_run"/v);
		t.true(Number(retryAfter) > 0);
	}

	const received = [...router.stages, ...router.records].flatMap(({receivedRequests}) => receivedRequests);
	t.deepEqual(received.map(({path}) => path), ['/drafts/0']);
	const stream = await sending;
	t.true(stream.isComplete);
});

test.serial('a request whose body arrives after the notice period of a graceful shutdown is refused as not run (own interface)', async t => {
	const entry = await CallerEntry.start(t);
	const draft = JSON.stringify({model: 'findings', messages: [{role: 'user', content: 'x'}]});
	const calls = [{path: 'services/records/site-history', body: '{}'}, {path: 'chat/completions', body: draft}];
	const responses = await Promise.all(calls.map(async call => entry.send({
		...call,
		workspace: 'insider',
		async beforeBody() {
			await entry.waitForRequests(calls.length);
			entry.lifecycle.refuseRequests();
		},
	})));
	t.deepEqual(responses.map(({status, headers}) => [status, headers['x-execution'], Number(headers['retry-after']) > 0]), calls.map(() => [503, 'not_run', true]));
	t.is(entry.startedRequests, 0);
});
