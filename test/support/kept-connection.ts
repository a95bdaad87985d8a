import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** A connection of a caller that sends several requests over it. */
export class KeptConnection {
	/** Connects to a port of this machine. */
	static async open(port: number): Promise<KeptConnection> {
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		return new KeptConnection(socket);
	}

	/** What has been received. */
	received = '';
	/** Whether the other side has ended the connection. */
	isEnded = false;
	private sentRequests = 0;

	private constructor(private readonly socket: Socket) {
		socket.setEncoding('latin1');
		socket.on('data', (text: string) => {
			this.received += text;
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.isEnded = true;
		});
	}

	/** Statuses of the responses received. */
	get statuses(): readonly number[] {
		return [...this.received.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /gv)].map(({groups}) => Number(groups!.status));
	}

	/** Sends a request to the site of the tests. */
	send(target: string): void {
		this.socket.write([
			`POST ${target} HTTP/1.1`,
			'Host: site.example',
			`Siskinnotch-Attempt-Id: kept-${++this.sentRequests}`,
			'Siskinnotch-Deadline-Remaining: 5000',
			'Siskinnotch-Token-Usage: 100,50',
			'X-Api-Key: key-1',
			'Content-Length: 6',
			'',
			'prompt',
		].join('\r\n'));
	}

	/** Stops reading, or goes on. */
	setReading(isReading: boolean): void {
		if (isReading) {
			this.socket.resume();
		} else {
			this.socket.pause();
		}
	}

	/** Closes the connection. */
	close(): void {
		this.socket.destroy();
	}
}
