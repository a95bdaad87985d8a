import {type CallerReply} from '../caller-reply.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type RelayRequest} from '../relay-request.js';
import {type ServerSentEvent} from './event-splitter.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamProgress} from './stream-progress.js';

/** Delivers the events of a stream to its caller. */
export class StreamDelivery {
	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'metrics' | 'serverHealth' | 'timers'>,
		private readonly request: RelayRequest,
		private readonly reply: CallerReply,
		private readonly progress: StreamProgress,
	) {}

	/** Delivers events of an attempt, which is paused if its caller does not keep up. The first event begins the reply. */
	deliver(attempt: StreamAttempt, events: readonly ServerSentEvent[]): void {
		const now = this.dependencies.timers.now();
		for (const {bytes} of events) {
			if (!this.reply.isStarted) {
				this.begin(attempt, now);
			}

			if (!this.reply.write(bytes)) {
				attempt.transmission?.pause();
			}

			this.progress.recordDelivery(now);
		}
	}

	private begin(attempt: StreamAttempt, now: number): void {
		const {status, headers} = attempt.response.head!;
		this.reply.begin(status, headers);
		this.dependencies.metrics.record('siskinnotch_first_event_ms', now - this.request.arrivedAt);
		this.dependencies.serverHealth.clearPipeline(attempt.pipeline, now);
	}
}
