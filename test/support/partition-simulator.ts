import {existsSync, readFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {PartitionKind, partitionSchema, type Partition} from './partition.js';

type Connect = (...parameters: unknown[]) => Socket;

type SilencedSocket = Socket & {
	_handle?: {
		readStart: () => number;
		readonly readStop: () => void;
	};
};

const pollIntervalMs = 10;
const portPattern = /"port":"?(?<port>\d+)/v;
/** Options that cannot be converted to JSON. */
const opaqueOptions = new Set(['agent', 'signal', 'lookup']);

/** Returns the port in the parameters of a call that connects a socket. */
function findPort(parameters: readonly unknown[]): number {
	const text = JSON.stringify(parameters, (key, value: unknown) => opaqueOptions.has(key) ? undefined : value);
	return Number(portPattern.exec(text)?.groups?.port);
}

/** Partitions this process from the backend servers as its control file says, by replacing how sockets connect and transfer bytes. */
export class PartitionSimulator {
	private partition: Partition = {kind: PartitionKind.None, ports: []};
	private text = '';
	private readonly sockets = new Set<Socket>();

	constructor(private readonly file: string) {}

	/** Replaces how sockets connect, and follows the control file. */
	install(): void {
		const connect = Reflect.get(Socket.prototype, 'connect') as unknown as Connect; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const connectThroughPartition = (socket: Socket, parameters: readonly unknown[]): Socket => {
			const port = findPort(parameters);
			if (this.partition.kind !== PartitionKind.None && this.partition.ports.includes(port)) {
				return this.refuse(socket, port);
			}

			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
			return connect.apply(socket, [...parameters]);
		};

		Reflect.set(Socket.prototype, 'connect', function (this: Socket, ...parameters: unknown[]) {
			return connectThroughPartition(this, parameters);
		});
		setInterval(() => {
			this.readFile();
		}, pollIntervalMs).unref();
	}

	/** Fails a new connection, or leaves it pending for ever. */
	private refuse(socket: Socket, port: number): Socket {
		Reflect.set(socket, 'connecting', true);
		if (this.partition.kind !== PartitionKind.Silent) {
			process.nextTick(() => {
				socket.destroy(Object.assign(new Error(`connect ECONNREFUSED 127.0.0.1:${port}`), {code: 'ECONNREFUSED'}));
			});
		}

		return socket;
	}

	private readFile(): void {
		const text = existsSync(this.file) ? readFileSync(this.file, 'utf8') : '';
		if (text === this.text || text === '') {
			return;
		}

		this.text = text;
		this.partition = partitionSchema.parse(JSON.parse(text));
		for (const socket of this.sockets) {
			if (socket.remotePort !== undefined && this.partition.ports.includes(socket.remotePort)) {
				this.cut(socket);
			}
		}
	}

	private cut(socket: SilencedSocket): void {
		const {kind} = this.partition;
		if (kind === PartitionKind.Reset) {
			socket.destroy(Object.assign(new Error('read ECONNRESET'), {code: 'ECONNRESET'}));
		} else if (kind === PartitionKind.Silent) {
			this.silence(socket);
		}
	}

	/** Makes an open socket neither send nor receive. */
	private silence(socket: SilencedSocket): void {
		socket._handle?.readStop();
		if (socket._handle) {
			socket._handle.readStart = () => 0;
		}

		socket._write = (_chunk, _encoding, callback) => {
			callback();
		};

		socket._writev = (_chunks, callback) => {
			callback();
		};
	}
}
