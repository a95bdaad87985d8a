import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';

/** What each caller of a crowd sends on its connection, which it keeps open. */
export enum CrowdKind {
	TinyChunks = 'chunked bodies in chunks of one byte',
	LargeChunks = 'chunked bodies in large chunks',
	SmallBodies = 'bodies of a few kilobytes that lack their last byte',
	ManyFields = 'heads of many fields before unfinished bodies',
	LargeFields = 'heads of one large field before unfinished bodies',
	UnfinishedHeads = 'heads of many fields that do not end',
	Trailers = 'trailers of many fields that do not end',
	Extensions = 'chunk extensions that do not end',
	Pipelined = 'refused requests one behind the other whose replies are not read',
	UnreadReplies = 'ordinary requests one behind the other whose replies are not read',
	FirstBytes = 'ordinary heads before unfinished bodies',
	Nothing = 'connections on which nothing is sent',
}

/** What is sent on one connection: the beginning on all connections first, then the parts. */
type CrowdInput = {
	readonly beginning: string;
	readonly part: string;
	readonly parts: number;
};

const largeChunkBytes = 65_536;
const largeFieldBytes = 12_000;
const smallBodyBytes = 4000;
const fields = 2000;
const unfinishedFields = 2600;
const batchSize = 50;
const pauseMs = 5;
const connectMs = 2000;

function createFields(count: number): string {
	return Array.from({length: count}, (_, index) => `x${index.toString(36)}:1\r\n`).join('');
}

/**
Creates what the callers of a crowd send.

@param head - request line and fields of an ordinary request, without those that tell the length of its body
@param host - field that names the host
*/
function createInput(kind: CrowdKind, head: string, host: string): CrowdInput {
	const chunked = 'Transfer-Encoding: chunked\r\n';
	const beginning = `${head}${chunked}\r\n`;
	switch (kind) {
		case CrowdKind.TinyChunks: {
			return {beginning, part: '1\r\nx\r\n'.repeat(1000), parts: 4};
		}

		case CrowdKind.LargeChunks: {
			return {beginning, part: `${largeChunkBytes.toString(16)}\r\n${'#'.repeat(largeChunkBytes)}\r\n`, parts: 8};
		}

		case CrowdKind.SmallBodies: {
			return {beginning: `${head}Content-Length: ${smallBodyBytes}\r\n\r\n`, part: '#'.repeat(smallBodyBytes - 1), parts: 1};
		}

		case CrowdKind.ManyFields: {
			return {beginning: `${head}${chunked}${createFields(fields)}\r\n1\r\nx\r\n`, part: '', parts: 0};
		}

		case CrowdKind.LargeFields: {
			return {beginning: `${head}${chunked}X-Large: ${'#'.repeat(largeFieldBytes)}\r\n\r\n1\r\nx\r\n`, part: '', parts: 0};
		}

		case CrowdKind.UnfinishedHeads: {
			return {beginning: head, part: createFields(unfinishedFields / 2), parts: 2};
		}

		case CrowdKind.Trailers: {
			return {beginning: `${beginning}1\r\nx\r\n0\r\n`, part: createFields(unfinishedFields / 2), parts: 2};
		}

		case CrowdKind.Extensions: {
			return {beginning: `${beginning}1`, part: ';a=b'.repeat(1500), parts: 2};
		}

		case CrowdKind.Pipelined: {
			return {beginning: '', part: `GET /none HTTP/1.1\r\n${host}\r\n`.repeat(300), parts: 4};
		}

		case CrowdKind.UnreadReplies: {
			return {beginning: '', part: `${head}Content-Length: 1\r\n\r\nx`.repeat(20), parts: 4};
		}

		case CrowdKind.FirstBytes: {
			return {beginning: `${head}Content-Length: 10\r\n\r\nx`, part: '', parts: 0};
		}

		case CrowdKind.Nothing: {
			return {beginning: '', part: '', parts: 0};
		}
	}
}

/** Callers that open many connections, send the same on each and read no reply. */
export class CallerCrowd {
	private readonly sockets: Socket[] = [];
	private readonly timers = new ClockTimerService();

	constructor(private readonly port: number, private readonly head: string, private readonly host: string) {}

	/** Opens connections and sends on each what a kind of crowd sends. Resolves once all is written that the other side takes. */
	async send(kind: CrowdKind, connections: number): Promise<void> {
		const {beginning, part, parts} = createInput(kind, this.head, this.host);
		for (let number = 0; number < connections; number++) {
			await this.open(beginning); // eslint-disable-line no-await-in-loop
			if (number % batchSize === batchSize - 1) {
				await this.timers.sleep(pauseMs); // eslint-disable-line no-await-in-loop
			}
		}

		const bytes = Buffer.from(part);
		for (let sent = 0; sent < parts; sent++) {
			for (const [number, socket] of this.sockets.entries()) {
				socket.write(bytes);
				if (number % batchSize === batchSize - 1) {
					await this.timers.sleep(pauseMs); // eslint-disable-line no-await-in-loop
				}
			}
		}
	}

	/** Closes the connections. */
	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private async open(beginning: string): Promise<void> {
		const socket = connect(this.port, '127.0.0.1');
		this.sockets.push(socket);
		socket.on('error', () => undefined);
		socket.pause();
		await new Promise<void>(resolve => {
			const timer = this.timers.after(connectMs, resolve);
			const finish = () => {
				timer.cancel();
				resolve();
			};

			socket.once('connect', finish);
			socket.once('close', finish);
		});
		if (beginning !== '') {
			socket.write(beginning);
		}
	}
}
