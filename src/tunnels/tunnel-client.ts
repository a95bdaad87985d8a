import {request as startRequest} from 'node:http';
import {type Socket} from 'node:net';
import {splitAddress} from '../settings/split-address.js';
import {type TimerService} from '../time/timer-service.js';
import {TunnelFailureReason} from './tunnel-failure-reason.js';
import {TunnelFailure} from './tunnel-failure.js';
import {TunnelStatus} from './tunnel-status.js';

const failureReasons: ReadonlyMap<number, TunnelFailureReason> = new Map([
	[TunnelStatus.Unknown, TunnelFailureReason.Unknown],
	[TunnelStatus.Refused, TunnelFailureReason.Refused],
	[TunnelStatus.Unanswered, TunnelFailureReason.Unanswered],
]);

/** Opens tunnels through other instances, with the method CONNECT of HTTP. */
export class TunnelClient {
	/**
	@param timeout - milliseconds to open a tunnel; longer than the other instance waits for the server
	*/
	constructor(private readonly timers: TimerService, private readonly timeout: number) {}

	/**
	Opens a tunnel.

	@param instance - address of the other instance
	@param server - address of the backend server
	@throws TunnelFailure
	*/
	async open(instance: string, server: string): Promise<Socket> {
		return new Promise((resolve, reject) => {
			const request = startRequest({
				...splitAddress(instance), method: 'CONNECT', path: server, agent: false,
			});
			const fail = (message: string, reason: TunnelFailureReason) => {
				timer.cancel();
				request.destroy();
				reject(new TunnelFailure(`${instance}: ${message}`, reason));
			};

			const timer = this.timers.after(this.timeout, () => {
				fail(`no answer within ${this.timeout} ms`, TunnelFailureReason.Unavailable);
			});
			request.on('error', error => {
				fail(error.message, TunnelFailureReason.Unavailable);
			});
			request.on('response', ({statusCode = 0}) => {
				fail(`status ${statusCode}`, TunnelFailureReason.Unavailable);
			});
			request.on('connect', ({statusCode = 0}, socket: Socket) => {
				if (statusCode !== Number(TunnelStatus.Opened)) {
					socket.destroy();
					fail(`status ${statusCode}`, failureReasons.get(statusCode) ?? TunnelFailureReason.Unavailable);
					return;
				}

				timer.cancel();
				socket.setNoDelay(true);
				// Later errors close the socket, which its user sees.
				socket.on('error', () => undefined);
				resolve(socket);
			});
			request.end();
		});
	}
}
