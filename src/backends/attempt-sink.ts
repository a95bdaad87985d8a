import {type Frame} from './frame.js';

/** Receives the frames of an attempt. */
export type AttemptSink = {
	/** Receives the frames that arrived in one read. */
	onFrames(frames: readonly Frame[]): void;

	/**
	The stream ended, whether the answer is complete or not.

	@param unreachableServer - the server that a stage could not reach; undefined if no stage named one
	*/
	onClosed(reason: string, unreachableServer?: string): void;
};
