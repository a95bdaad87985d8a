import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {ClockTimerService} from '../src/time/clock-timer-service.js';

const timers = new ClockTimerService();

/** Blocks the event loop. */
function block(milliseconds: number): void {
	const end = timers.now() + milliseconds;
	while (timers.now() < end) {
		// Nothing else runs meanwhile.
	}
}

/** Starts another process that sends text over a connection after a delay and then closes it; returns this end. */
async function connectFromOutside(delay: number): Promise<Socket> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const script = `const socket = require('net').connect(${port}, '127.0.0.1'); socket.once('data', () => setTimeout(() => { socket.end('text'); }, ${delay}));`;
	spawn(process.execPath, ['-e', script], {stdio: 'ignore'});
	const [socket] = await once(server, 'connection') as [Socket]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	server.close();
	return socket;
}

// Guards against responses that count as missing, and callers that count as waiting, because timers run before input is read.
test('after a stall, data and ends of connections are handled before calls that fell due', async t => {
	const events: string[] = [];
	const socket = await connectFromOutside(100);
	socket.on('data', () => {
		events.push('data');
	});
	socket.on('end', () => {
		events.push('end');
	});
	socket.write('begin');
	const period = timers.repeat(150, () => {
		events.push('period');
	});
	timers.after(200, () => {
		events.push('timeout');
	});
	await timers.sleep(20);
	block(500);
	await timers.sleep(400);
	period.cancel();
	t.deepEqual(events.slice(0, 2), ['data', 'end']);
	t.true(events.includes('timeout'));
});

test('a call that is cancelled by input after a stall is not made', async t => {
	const socket = await connectFromOutside(50);
	socket.resume();
	socket.write('begin');
	let isCalled = false;
	const timeout = timers.after(100, () => {
		isCalled = true;
	});
	socket.on('data', () => {
		timeout.cancel();
	});
	await timers.sleep(10);
	block(400);
	await timers.sleep(100);
	t.false(isCalled);
});

test('calls in time and periodic calls are made as before', async t => {
	let periods = 0;
	const handle = timers.repeat(30, () => {
		periods++;
	});
	await timers.sleep(200);
	handle.cancel();
	const counted = periods;
	await timers.sleep(80);
	t.true(counted >= 3 && counted <= 6, `${counted}`);
	t.is(periods, counted);
});
