import {type FinishReason} from '../backends/finish-reason.js';
import {type Route} from '../backends/stage.js';
import {type Failure} from '../results/failure.js';

/** Kinds of commands for a stream. */
export enum StreamCommandKind {
	Run = 'run',
	Attach = 'attach',
	Inspect = 'inspect',
	Cancel = 'cancel',
	Suspect = 'suspect',
	Reject = 'reject',
	Deliver = 'deliver',
	Finish = 'finish',
	Fail = 'fail',
}

/** An action that the caller of `StreamRecovery` has to carry out. */
export type StreamCommand
	/** Open a connection that runs a new attempt. */
	= | {readonly kind: StreamCommandKind.Run; readonly attempt: number; readonly connection: number; readonly route: Route}
	/** Open a new connection to the running attempt and close the old one. */
		| {readonly kind: StreamCommandKind.Attach; readonly attempt: number; readonly connection: number; readonly route: Route; readonly from: number}
		| {readonly kind: StreamCommandKind.Inspect; readonly attempt: number; readonly route: Route}
		| {readonly kind: StreamCommandKind.Cancel; readonly attempt: number; readonly route: Route}
	/** Mark the server as suspect, so that it receives no new requests for a while. */
		| {readonly kind: StreamCommandKind.Suspect; readonly server: string}
	/** Record that a frame was rejected. */
		| {readonly kind: StreamCommandKind.Reject; readonly reason: string}
		| {readonly kind: StreamCommandKind.Deliver; readonly tokens: readonly string[]}
		| {readonly kind: StreamCommandKind.Finish; readonly reason: FinishReason}
		| {readonly kind: StreamCommandKind.Fail; readonly failure: Failure};
