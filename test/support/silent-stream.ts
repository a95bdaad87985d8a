import {type ReceivedRequest, type StageBehaviour, type StageSimulator} from '../../simulators/stage-simulator.js';
import {type CallerResponse, type RouterProcess} from './router-process.js';

/** Below the time after which a caller abandons a silent stream. */
export const silenceMs = 1600;
/** Time without data after which a caller leaves. */
const callerIdleTimeoutMs = 2000;
/** Stages that hold all layers twice. */
export const stageCount = 4;
/** Longer than a caller waits for an event. */
const endlessPauseMs = 5000;
/** What the other first stage does with a request. */
export const otherBehaviours = {
	accepting: {},
	rejecting: {rejectionStatus: 503},
	/** Accepts requests and sends no event. */
	silent: {pause: endlessPauseMs},
} as const satisfies Record<string, Partial<StageBehaviour>>;
/** All events of a stream, each once and in order. */
export const wholeAnswer = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');

type StreamParts = {
	readonly router: RouterProcess;
	readonly target: string;
	/** The first stage that falls silent. */
	readonly silent: StageSimulator;
	readonly other: StageSimulator;
	readonly caller: AbortController;
	readonly response: Promise<CallerResponse>;
};

/** A stream whose first stage is silent for a while after the first event, beside one other first stage. */
export class SilentStream {
	/**
	Sends the request, and returns when its first stage has received it.

	@param behaviour - of the other first stage
	*/
	static async start(router: RouterProcess, target: string, behaviour: Partial<StageBehaviour>): Promise<SilentStream> {
		const stages = router.stages.filter(({range}) => range?.from === 0);
		if (stages.length !== 2) {
			throw new Error(`${stages.length} stages hold the first layer`);
		}

		// Which of the two is selected is known only afterwards.
		for (const stage of stages) {
			stage.behaviour.pauseWithinStream = silenceMs;
		}

		const caller = new AbortController();
		const response = router.send(target, {idleTimeout: callerIdleTimeoutMs, departure: caller.signal});
		const findSilent = () => stages.find(stage => findRequests(stage, target).length > 0);
		await router.waitUntil(() => findSilent() !== undefined);
		const silent = findSilent()!;
		const other = stages.find(stage => stage !== silent)!;
		other.behaviour.pauseWithinStream = undefined;
		Object.assign(other.behaviour, behaviour);
		return new SilentStream({
			router, target, silent, other, caller, response,
		});
	}

	private constructor(private readonly parts: StreamParts) {}

	/** What the caller receives. */
	get response(): Promise<CallerResponse> {
		return this.parts.response;
	}

	/** Requests of the stream that the silent first stage received. */
	get silentAttempts(): readonly ReceivedRequest[] {
		return findRequests(this.parts.silent, this.parts.target);
	}

	/** Requests of the stream that the other first stage received. */
	get otherAttempts(): readonly ReceivedRequest[] {
		return findRequests(this.parts.other, this.parts.target);
	}

	/** Requests of the stream that any stage received. */
	get attempts(): readonly ReceivedRequest[] {
		return this.parts.router.stages.flatMap(stage => findRequests(stage, this.parts.target));
	}

	/** Closes the caller's connection. */
	leave(): void {
		this.parts.caller.abort();
	}

	/** Waits until the other first stage has received a request of the stream. */
	async waitForOther(): Promise<void> {
		await this.parts.router.waitUntil(() => this.otherAttempts.length > 0);
	}
}

function findRequests({receivedRequests}: StageSimulator, target: string): readonly ReceivedRequest[] {
	return receivedRequests.filter(({path}) => path === target);
}
