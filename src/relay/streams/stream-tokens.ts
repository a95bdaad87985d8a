import {type AnswerRecorder} from '../../estimates/answer-recorder.js';
import {type AnswerRequest} from '../../estimates/answer-request.js';
import {predictTokenTime} from '../../estimates/token-time.js';
import {type EngineModel} from '../../pipelines/engine-model.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type ServerLoad} from '../../pipelines/server-load.js';
import {type RelayRequest} from '../relay-request.js';
import {type StreamProgress} from './stream-progress.js';

/** The tokens that one stream holds on its servers, now and as expected at its end. */
export class StreamTokens {
	private readonly answer: AnswerRequest;
	private isRecorded = false;
	private sendCount = 0;
	/** Predicted milliseconds for each token along the pipeline of the latest attempt. */
	private tokenTime = 0;

	constructor(
		private readonly answers: AnswerRecorder,
		private readonly request: RelayRequest,
		private readonly model: EngineModel,
		private readonly progress: StreamProgress,
	) {
		const {route, maxAnswerTokens, answerEstimate} = request;
		this.answer = {
			route: route.name, maxAnswerTokens, answerEstimate, usualAnswer: model.usualAnswer,
		};
	}

	/** Tokens that a server holds once it has read the prompt and what was written so far. */
	get context(): number {
		return this.request.promptTokens + this.written;
	}

	/** Tokens that the stream is expected to hold when it ends. */
	get expected(): number {
		return Math.round(this.context + this.answers.estimator.estimateRemaining(this.answer, this.written).tokens);
	}

	/** Records that the stream is sent along a pipeline. */
	recordSend(pipeline: Pipeline, load: ServerLoad): void {
		this.sendCount++;
		this.tokenTime = predictTokenTime(pipeline, this.model, this.expected, server => load.getRequests(server));
	}

	/** Records the end of the answer, once. A stream that the caller resumed is left out, since another instance has recorded its beginning. */
	recordEnd(isComplete: boolean): void {
		if (this.isRecorded || !this.progress.hasDelivered || this.request.lastEventId !== undefined) {
			return;
		}

		this.isRecorded = true;
		this.answers.record(this.request.id, this.answer, {
			writtenTokens: this.written, isComplete, service: this.request.service.name, duration: isComplete ? this.compareDuration() : undefined,
		});
	}

	/** Compares the duration of an answer that came along one pipeline with the predicted one. The tokens of the first event are not in it. */
	private compareDuration(): {predicted: number; actual: number} | undefined {
		const {progress, request, model, tokenTime} = this;
		const laterEvents = progress.deliveredEvents - 1;
		return this.sendCount === 1 && laterEvents > 0
			? {predicted: laterEvents * model.tokensPerEvent * tokenTime, actual: progress.lastDeliveredAt - request.arrivedAt - progress.firstEventMs}
			: undefined;
	}

	/** Tokens of the answer so far, including those that the caller received from an earlier request. */
	private get written(): number {
		const events = (this.request.lastEventId ?? 0) + this.progress.deliveredEvents;
		return Math.min(this.request.maxAnswerTokens, events * this.model.tokensPerEvent);
	}
}
