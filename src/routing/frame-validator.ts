import {type FinishReason} from '../backends/finish-reason.js';
import {type Frame} from '../backends/frame.js';
import {type Receipt} from '../backends/receipt.js';
import {type Route} from '../backends/stage.js';

/** Result of validating a frame. */
export enum FrameValidity {
	/** The frame holds the next token, and its receipts cover all layers exactly once, in order. */
	Accepted = 'accepted',
	/** The frame belongs to another attempt, or its token was already delivered: it is dropped. */
	Late = 'late',
	/** At least one token before this one is missing: the stream is broken. */
	Gap = 'gap',
	/** The receipts do not cover all layers exactly once, in order, with one model version: the stream is broken. */
	LayersViolated = 'layers_violated',
}

/** A frame that breaks the stream. */
export type InvalidFrame = {
	readonly reason: string;
	/** Position in the route of the first stage whose receipt is missing or wrong; undefined if the receipts are valid. */
	readonly stage?: number;
};

/** Result of validating frames that arrived together. */
export type FrameBatch = {
	/** Tokens of the accepted frames, in order. */
	readonly tokens: readonly string[];
	/** Set if the last accepted frame completes the answer. */
	readonly finish?: FinishReason;
	/** The frame that breaks the stream; frames after it were not read. */
	readonly invalid?: InvalidFrame;
};

/**
Finds the first stage whose receipt is missing or wrong. The receipts must cover the layers from 0 to the last exactly once, in the order of the route and with its model version.

@returns the position of the stage in the route; undefined if the receipts are valid
*/
export function findInvalidStage(receipts: readonly Receipt[], route: Route, layers: number): number | undefined {
	let layer = 0;
	for (const [index, stage] of route.entries()) {
		const receipt = receipts.at(index);
		const isInOrder = receipt?.stage === index && receipt.firstLayer === layer && receipt.endLayer > layer;
		if (!isInOrder || receipt.endLayer !== stage.endLayer || receipt.version !== route[0].version) {
			return index;
		}

		layer = receipt.endLayer;
	}

	return receipts.length === route.length && layer === layers ? undefined : route.length - 1;
}

/** Validates the frames of an answer, so that each token is delivered exactly once and in order across attempts. */
export class FrameValidator {
	private expectedIndex = 0;

	constructor(private readonly layers: number) {}

	/** Index of the next token to be delivered. */
	get nextIndex(): number {
		return this.expectedIndex;
	}

	/** Validates frames that arrived together against their attempt and its route, up to the first one that breaks the stream. Accepted frames count as delivered. */
	validateAll(frames: readonly Frame[], attempt: number, route: Route): FrameBatch {
		const tokens: string[] = [];
		let finish: FinishReason | undefined;
		for (const frame of frames) {
			const validity = this.validate(frame, attempt, route);
			if (validity === FrameValidity.Gap || validity === FrameValidity.LayersViolated) {
				const reason = `${validity} at token ${frame.index}, ${this.expectedIndex} are delivered`;
				return {tokens, invalid: {reason, stage: findInvalidStage(frame.receipts, route, this.layers)}};
			}

			if (validity === FrameValidity.Accepted) {
				tokens.push(frame.text);
				({finish} = frame);
			}
		}

		return {tokens, finish};
	}

	/** Validates a frame against its attempt and its route. An accepted frame counts as delivered. */
	validate(frame: Frame, attempt: number, route: Route): FrameValidity {
		if (frame.attempt !== attempt || frame.index < this.expectedIndex) {
			return FrameValidity.Late;
		}

		if (frame.index > this.expectedIndex) {
			return FrameValidity.Gap;
		}

		if (findInvalidStage(frame.receipts, route, this.layers) !== undefined) {
			return FrameValidity.LayersViolated;
		}

		this.expectedIndex++;
		return FrameValidity.Accepted;
	}
}
