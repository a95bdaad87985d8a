import test from 'ava';
import {explainRequestRoute} from '../src/command/selection-command.js';
import {ResultCode} from '../src/results/result-code.js';
import {operatorSecret, RouterProcess} from './support/router-process.js';

// Guards against a command whose procedure, secret or types differ from those of a running router, and against an explanation that sends the request.
test('route explain shows the pipeline of a running router, and the sizes for which none has room, without a request to a server', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	const options = {instance: router.peersAddress, secret: operatorSecret};
	const explain = async () => explainRequestRoute(options, {route: 'drafts', promptTokens: 100, answerTokens: 50});
	// The router learns of loaded layers from the list of servers, after the servers themselves.
	await router.waitUntil(async () => {
		const {code} = await explain();
		return code === ResultCode.Success;
	});
	const {text} = await explain();
	t.regex(text, /drafts: service svc-model, priority 1, 100 prompt and 50 answer tokens/v);
	t.regex(text, /pipeline: \S+ \[0-\d+\).* -> .*-80\); first event after/v);
	const tooLarge = await explainRequestRoute(options, {route: 'drafts', promptTokens: 10_000_000, answerTokens: 50});
	t.is(tooLarge.code, ResultCode.NoPipeline);
	t.regex(tooLarge.text, /no free memory/v);
	const denied = await explainRequestRoute({...options, secret: 'another-secret-of-operators'}, {route: 'drafts'});
	t.not(denied.code, ResultCode.Success);
	t.false(router.logLines.some(line => line.includes('"request.sent"')));
});
