import {type Frame} from '../backends/frame.js';
import {type Receipt} from '../backends/receipt.js';
import {type Route} from '../backends/stage.js';

/** What the guard makes of a frame. */
export enum FrameValidity {
	/** It is the next token and its receipts cover all layers once, in order. */
	Accepted = 'accepted',
	/** It belongs to an earlier attempt, or the caller has this token already: dropped. */
	Late = 'late',
	/** A token between is missing: the stream is broken. */
	Gap = 'gap',
	/** Its receipts do not cover all layers once, in order, with one version: the stream is broken. */
	LayersViolated = 'layers_violated',
}

/**
The position of the first stage whose receipt does not fit: the receipts must cover the layers from 0 to the last once, in order, along the route and with its version.

@returns undefined where all layers are covered
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

/** Lets each token of an answer through once, in order, across attempts. */
export class FrameValidator {
	private next = 0;

	constructor(private readonly layers: number) {}

	/** Index of the token that the caller gets next. */
	get nextIndex(): number {
		return this.next;
	}

	/** Judges a frame of the attempt in force; an accepted one counts as delivered. */
	validate(frame: Frame, attempt: number, route: Route): FrameValidity {
		if (frame.attempt !== attempt || frame.index < this.next) {
			return FrameValidity.Late;
		}

		if (frame.index > this.next) {
			return FrameValidity.Gap;
		}

		if (findInvalidStage(frame.receipts, route, this.layers) !== undefined) {
			return FrameValidity.LayersViolated;
		}

		this.next++;
		return FrameValidity.Accepted;
	}
}
