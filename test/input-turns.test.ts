import {once} from 'node:events';
import {connect} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {freePort} from '../harness/ports.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {ConnectionLog} from '../src/entry/connection-log.js';
import {CallerServer} from '../src/network/caller-server.js';
import {listen} from '../src/network/listen.js';
import {Metrics} from '../src/observation/metrics.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {createCallerIntake} from './support/caller-intake.js';
import {RecordingLog} from './support/sample-fleet.js';

const connections = 40;
const chunks = 10_000;
const maxMs = 30_000;
/** Pieces of bodies and requests that a turn may handle at most. */
const maxTurnPieces = 10_000;

// Guards against turns of the event loop that last for seconds: no timer fires meanwhile, and nobody is answered.
test.serial('what arrives on many connections at once is handled in many turns of the event loop', async t => {
	const timers = new ClockTimerService();
	const observer = new ConnectionLog(new PlatformCodec(), new Metrics(), new RecordingLog());
	let pieces = 0;
	const server = new CallerServer({}, message => {
		pieces++;
		message.on('data', () => {
			pieces++;
		});
	}, observer, createCallerIntake(timers));
	const port = await freePort();
	await listen(server, '127.0.0.1', port);
	const sockets = Array.from({length: connections}, () => connect(port, '127.0.0.1'));
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	await Promise.all(sockets.map(async socket => once(socket, 'connect')));
	for (const socket of sockets) {
		socket.write(`POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(chunks)}`);
	}

	let largest = 0;
	const deadline = timers.now() + maxMs;
	for (let previous = 0; previous < connections * (chunks + 1) && timers.now() < deadline; previous = pieces) {
		await setImmediate(); // eslint-disable-line no-await-in-loop
		largest = Math.max(largest, pieces - previous);
	}

	t.is(pieces, connections * (chunks + 1));
	t.log(`at most ${largest} pieces in a turn`);
	t.true(largest <= maxTurnPieces, `${largest} pieces in a turn`);
});
