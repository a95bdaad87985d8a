import {Buffer} from 'node:buffer';
import {connect, createServer, type Socket} from 'node:net';
import {type ExecutionContext} from 'ava';
import {listen} from '../../src/network/listen.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';

/** What the callers of a crowd send. */
export enum BodyKind {
	LargeChunks = 'chunked bodies in large chunks that stop short of their end',
	SmallChunks = 'chunked bodies in very small chunks that stop short of their end',
	Announced = 'bodies that are announced over the limit and sent without end',
	Endless = 'chunked bodies that are sent without end',
}

/** Largest body in bytes that the instances of these tests accept. */
export const bodyLimit = 4_194_304;
const callerCount = 80;
const largeChunk = 65_536;
/** Bytes of a body in large chunks; just below the limit. */
const largeBody = 4_128_768;
const smallChunks = 100_000;
const smallChunksPerWrite = 10_000;
const endlessMs = 4000;
/** Only one process at a time may listen on it. */
const lockPort = 18_990;
const lockPollMs = 250;
const lockTimeoutMs = 90_000;
const timers = new ClockTimerService();

/** Holds back tests of crowds in other processes until this test has ended: their memory and descriptors would add up. */
export async function lockCrowds(t: ExecutionContext): Promise<void> {
	t.timeout(lockTimeoutMs * 2);
	const end = timers.now() + lockTimeoutMs;
	for (;;) {
		const server = createServer();
		try {
			await listen(server, '127.0.0.1', lockPort); // eslint-disable-line no-await-in-loop
			t.teardown(() => {
				server.close();
			});
			return;
		} catch (error) {
			if (timers.now() > end) {
				throw error;
			}

			await timers.sleep(lockPollMs); // eslint-disable-line no-await-in-loop
		}
	}
}

/** Resolves when more can be written, the connection is closed, or the other side has not read for some time. */
async function waitUntilWritable(socket: Socket): Promise<void> {
	return new Promise(resolve => {
		const finish = () => {
			timer.cancel();
			socket.off('drain', finish);
			socket.off('close', finish);
			resolve();
		};

		const timer = timers.after(endlessMs, finish);
		socket.on('drain', finish);
		socket.on('close', finish);
	});
}

/** Callers that send bodies side by side, and keep their connections open. */
export class BodyCrowd {
	private readonly sockets: Socket[] = [];

	constructor(private readonly port: number, private readonly head: string) {}

	/** Sends the bodies. Resolves once each caller has sent what it sends, or its connection was closed. */
	async send(kind: BodyKind): Promise<void> {
		await Promise.all(Array.from({length: callerCount}, async () => this.sendOne(kind)));
	}

	/** Opens connections, each with a request whose body is not complete. */
	async open(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const socket = await this.connect(); // eslint-disable-line no-await-in-loop
			socket.write(`${this.head}Content-Length: 10\r\n\r\nx`);
		}
	}

	/** Closes the connections. */
	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private async connect(): Promise<Socket> {
		const socket = connect(this.port, '127.0.0.1');
		this.sockets.push(socket);
		socket.on('error', () => undefined);
		socket.resume();
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
			socket.once('close', () => {
				resolve();
			});
		});
		return socket;
	}

	private async sendOne(kind: BodyKind): Promise<void> {
		const socket = await this.connect();
		const isAnnounced = kind === BodyKind.Announced;
		socket.write(`${this.head}${isAnnounced ? 'Content-Length: 4000000000' : 'Transfer-Encoding: chunked'}\r\n\r\n`);
		const isSmall = kind === BodyKind.SmallChunks;
		const large = Buffer.alloc(largeChunk, '#');
		const chunk = Buffer.concat([Buffer.from(`${largeChunk.toString(16)}\r\n`), large, Buffer.from('\r\n')]);
		const piece = isSmall ? Buffer.from('1\r\n#\r\n'.repeat(smallChunksPerWrite)) : (isAnnounced ? large : chunk);
		const writes = isSmall ? smallChunks / smallChunksPerWrite : largeBody / largeChunk;
		const isEndless = isAnnounced || kind === BodyKind.Endless;
		const end = timers.now() + endlessMs;
		for (let count = 0; !socket.destroyed && (isEndless ? timers.now() < end : count < writes); count++) {
			if (!socket.write(piece)) {
				await waitUntilWritable(socket); // eslint-disable-line no-await-in-loop
			}
		}
	}
}
