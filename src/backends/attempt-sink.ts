import {type Frame} from './frame.js';

/** Receives what an attempt sends. */
export type AttemptSink = {
	/** Frames that arrived in one read. */
	onFrames(frames: readonly Frame[]): void;

	/**
	The stream ended, whole or not.

	@param serverAtFault - the server that a stage could not reach; undefined where none was named
	*/
	onClosed(reason: string, serverAtFault?: string): void;
};
