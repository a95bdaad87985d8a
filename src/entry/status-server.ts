import {createServer} from 'node:http';
import {listen} from '../network/listen.js';
import {type Metrics} from '../observation/metrics.js';

const ok = 200;
const unavailable = 503;
const notFound = 404;

/** Serves the readiness check and the metrics. */
export class StatusServer {
	/**
	@param readinessPath - path that the load balancer polls
	@param isReady - whether the instance accepts new connections
	*/
	constructor(private readonly readinessPath: string, private readonly isReady: () => boolean, private readonly metrics: Metrics) {}

	/** Starts serving the readiness check. */
	async listenReadiness(host: string, port: number): Promise<void> {
		const server = createServer((message, response) => {
			response.statusCode = message.url === this.readinessPath ? (this.isReady() ? ok : unavailable) : notFound;
			response.end();
		});
		return listen(server, host, port);
	}

	/** Starts serving the metrics in the Prometheus text format. */
	async listenMetrics(host: string, port: number): Promise<void> {
		const server = createServer((_message, response) => {
			response.setHeader('Content-Type', 'text/plain; version=0.0.4');
			response.end(this.metrics.render());
		});
		return listen(server, host, port);
	}
}
