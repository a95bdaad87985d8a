import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import * as z from 'zod';
import {getApiKey} from '../harness/sheet-text.js';
import {Instance, type InstanceDependencies} from '../src/instance.js';
import {type Settings} from '../src/settings/settings.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {CallerEntry} from './support/caller-entry.js';
import {silentLog} from './support/silent-log.js';

const stop = {notice: 200, limit: 5000};
/** Beyond the notice. */
const stallMs = 600;
const request = `GET /v1/models HTTP/1.1|Host: a|Authorization: Bearer ${getApiKey('insider')}||`;
const statusesSchema = z.array(z.string());

/** Sends a request on each of four kept connections; once told to, sends another on each and one on each of four new ones, and prints the statuses of the replies to these. */
const script = String.raw`
const {connect} = require('node:net');
const [port, text] = process.argv.slice(1);
const request = text.replaceAll('|', '\r\n');
const callers = [];
const open = () => {
	for (let count = 0; count < 4; count++) {
		const caller = {received: '', socket: connect(Number(port), '127.0.0.1')};
		caller.socket.setEncoding('latin1');
		caller.socket.on('data', part => { caller.received += part; });
		caller.socket.on('error', () => {});
		caller.socket.write(request);
		callers.push(caller);
	}
};
open();
const ready = setInterval(() => {
	if (callers.every(({received}) => received.endsWith('}'))) {
		clearInterval(ready);
		console.log('ready');
	}
}, 20);
process.stdin.once('data', () => {
	setTimeout(() => {
		for (const caller of callers) {
			caller.received = '';
			caller.socket.write(request);
		}
		open();
	}, 100);
	setTimeout(() => {
		console.log(JSON.stringify(callers.map(({received}) => received.slice(9, 12))));
		process.exit(0);
	}, 3000);
});
`;

// Guards against requests that get neither an answer nor a refusal: an instance of the own interface that stood still stopped without reading what had arrived.
test.serial('requests that arrived while a stopping instance of the own interface stood still get replies', async t => {
	const entry = await CallerEntry.start(t);
	const timers = new ClockTimerService();
	const instance = new Instance({stop} as unknown as Settings, { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		timers,
		log: silentLog,
		lifecycle: entry.lifecycle,
		callers: entry.callers,
		usageMeter: {flush: async () => undefined},
		actionExecutor: {flush: async () => undefined},
		peerInterface: {close: () => undefined},
		tracing: {close: async () => undefined},
	} as unknown as InstanceDependencies);
	const callers = spawn(process.execPath, ['-e', script, String(entry.port), request], {stdio: ['pipe', 'pipe', 'inherit']});
	let text = '';
	callers.stdout.on('data', chunk => {
		text += String(chunk);
	});
	await once(callers.stdout, 'data');
	const stopped = instance.waitUntilStopped();
	entry.lifecycle.requestStop();
	callers.stdin.write('go\n');
	await setImmediate();
	const end = timers.now() + stallMs;
	while (timers.now() < end) {
		// Nothing else runs meanwhile.
	}

	t.true(await stopped);
	await once(callers, 'close');
	const statuses = statusesSchema.parse(JSON.parse(text.split('\n').at(-2)!));
	t.is(statuses.length, 8);
	t.log(statuses.join(' '));
	t.false(statuses.includes(''));
});
