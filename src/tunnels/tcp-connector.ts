import {createConnection, type Socket} from 'node:net';
import {isConnectionRefused} from '../network/is-connection-refused.js';
import {splitAddress} from '../settings/split-address.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {ConnectionFailureCause} from './connection-failure-cause.js';
import {ConnectionFailure} from './connection-failure.js';
import {type ConnectionPurpose} from './connection-purpose.js';
import {Connector} from './connector.js';

/** Opens connections from this instance itself. */
export class TcpConnector extends Connector {
	/**
	@param timeout - milliseconds to establish a connection
	*/
	constructor(private readonly timers: TimerService, private readonly metrics: Metrics, private readonly timeout: number) {
		super();
	}

	async connect(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		this.metrics.count('siskinnotch_connections', 1, {purpose});
		return new Promise((resolve, reject) => {
			const socket = createConnection({...splitAddress(address), noDelay: true});
			const timer = this.timers.after(this.timeout, () => {
				socket.destroy();
				reject(new ConnectionFailure(`connection not established within ${this.timeout} ms`, ConnectionFailureCause.Unanswered));
			});
			// Later errors close the socket, which its user sees.
			socket.on('error', error => {
				timer.cancel();
				reject(new ConnectionFailure(error.message, isConnectionRefused(error) ? ConnectionFailureCause.Refused : ConnectionFailureCause.Unanswered));
			});
			socket.once('connect', () => {
				timer.cancel();
				resolve(socket);
			});
		});
	}
}
