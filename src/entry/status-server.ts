import {createServer} from 'node:http';
import {listen} from '../network/listen.js';
import {type Metrics} from '../observation/metrics.js';

const ok = 200;
const unavailable = 503;
const notFound = 404;

/** Answers whether the instance is ready, and prints its metrics. */
export class StatusServer {
	/**
	@param readinessPath - the path that the balancer asks
	@param isReady - whether new connections may come
	*/
	constructor(private readonly readinessPath: string, private readonly isReady: () => boolean, private readonly metrics: Metrics) {}

	/** Begins to answer the balancer. */
	async listenReadiness(host: string, port: number): Promise<void> {
		const server = createServer((message, response) => {
			response.statusCode = message.url === this.readinessPath ? (this.isReady() ? ok : unavailable) : notFound;
			response.end();
		});
		return listen(server, host, port);
	}

	/** Begins to print metrics. */
	async listenMetrics(host: string, port: number): Promise<void> {
		const server = createServer((_message, response) => {
			response.setHeader('Content-Type', 'text/plain; version=0.0.4');
			response.end(this.metrics.render());
		});
		return listen(server, host, port);
	}
}
