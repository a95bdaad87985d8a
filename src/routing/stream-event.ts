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

/** An event of a stream that `StreamRecovery` handles. */
export type StreamEvent
	= | {readonly kind: StreamEventKind.Begin}
		| {readonly kind: StreamEventKind.Frames; readonly connection: number; readonly frames: readonly Frame[]}
	/** A connection was closed. `unreachableServer` is set if a stage named a server that it could not reach. */
		| {readonly kind: StreamEventKind.Closed; readonly connection: number; readonly reason: string; readonly unreachableServer?: string}
		| {readonly kind: StreamEventKind.Tick}
	/** The statuses of the stages in the order of the route; undefined for a server that did not respond. */
		| {readonly kind: StreamEventKind.Inspected; readonly attempt: number; readonly statuses: ReadonlyArray<StageStatus | undefined>}
		| {readonly kind: StreamEventKind.CallerGone};
