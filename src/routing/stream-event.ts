import {type Frame} from '../backends/frame.js';
import {type StageStatus} from '../backends/stage-status.js';

/** Kinds of events of a stream. */
export enum StreamEventKind {
	Begin = 'begin',
	Frames = 'frames',
	Closed = 'closed',
	Tick = 'tick',
	Inspected = 'inspected',
	CallerGone = 'caller_gone',
}

/** What happens to a stream. */
export type StreamEvent
	= | {readonly kind: StreamEventKind.Begin}
		| {readonly kind: StreamEventKind.Frames; readonly connection: number; readonly frames: readonly Frame[]}
	/** A connection ended; the server at fault is the one that a stage could not reach. */
		| {readonly kind: StreamEventKind.Closed; readonly connection: number; readonly reason: string; readonly unreachableServer?: string}
		| {readonly kind: StreamEventKind.Tick}
	/** The stages' statuses, in the order of the route; undefined where a server gave no answer. */
		| {readonly kind: StreamEventKind.Inspected; readonly attempt: number; readonly statuses: ReadonlyArray<StageStatus | undefined>}
		| {readonly kind: StreamEventKind.CallerGone};
