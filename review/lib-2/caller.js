import {Agent, request as startRequest} from 'node:http';
import {now} from './clock.js';

let sent = 0;

/** A client that keeps its connections. */
export class Caller {
	agent = new Agent({keepAlive: true});

	constructor({host, key, record}) {
		Object.assign(this, {host, key, record});
	}

	close() {
		this.agent.destroy();
	}

	/** Sends a request through a machine; resolves to what was received, also if no answer arrived. */
	async send(router, {
		method = 'POST', path, body = '', deadline = 1500, idleTimeout, parts, tokens, name,
	}) {
		sent++;
		const id = `a${sent.toString(16).padStart(8, '0')}`;
		const result = {
			id, path, through: router.name, sentAt: now(), status: 0, isComplete: false, name,
		};
		const headers = {
			Host: this.host,
			'Siskinnotch-Attempt-Id': id,
			'Siskinnotch-Deadline-Remaining': String(deadline),
			'X-Api-Key': this.key,
			'Content-Length': String(body.length),
			...(parts !== undefined && {'Siskinnotch-Model-Name': 'daka510000', 'Siskinnotch-Prompt-Prefix': parts, 'Siskinnotch-Token-Usage': tokens}),
		};
		await new Promise(resolve => {
			const request = startRequest({
				host: router.callersHost, port: router.callersPort, method, path, headers, agent: this.agent, timeout: idleTimeout ?? deadline + 1000,
			}, response => {
				result.status = response.statusCode;
				result.signature = response.headers['siskinnotch-replica-signature'];
				result.retryAfter = response.headers['retry-after'];
				let text = '';
				response.setEncoding('utf8');
				response.on('data', chunk => {
					text += chunk;
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					result.isComplete = response.complete;
					result.text = text;
					resolve();
				});
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', error => {
				result.error = error.code ?? error.message;
				resolve();
			});
			request.end(body);
		});
		result.endedAt = now();
		const outcome = `${result.status === 0 ? result.error : result.status}${result.isComplete ? '' : ' incomplete'}`;
		const failure = result.text && result.status !== 200 ? ` ${result.text}` : '';
		this.record?.add(`client ${id} ${method} ${path} through ${router.name}: ${outcome} after ${Math.round(result.endedAt - result.sentAt)} ms${failure}`);
		return result;
	}
}
