import {Agent} from 'node:http';
import got, {type Response} from 'got';
import {type TimerService} from '../time/timer-service.js';

/** Sends one JSON request over a new connection and gives up after a limit. Rejects on any failure of the connection. */
export async function requestOnce(
	timers: TimerService,
	method: 'GET' | 'POST',
	url: string,
	limit: number,
	body?: unknown,
): Promise<Response<string>> {
	const cancellation = new AbortController();
	const timeout = timers.after(limit, () => {
		cancellation.abort();
	});
	try {
		return await got(url, {
			method,
			json: body,
			agent: {http: new Agent({keepAlive: false})},
			retry: {limit: 0},
			throwHttpErrors: false,
			signal: cancellation.signal,
		});
	} finally {
		timeout.cancel();
	}
}
