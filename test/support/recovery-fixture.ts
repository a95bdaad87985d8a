import {type Frame} from '../../src/backends/frame.js';
import {type StageStatus} from '../../src/backends/stage-status.js';
import {type Route} from '../../src/backends/stage.js';
import {type StreamCommand, StreamCommandKind} from '../../src/routing/stream-command.js';
import {StreamEventKind} from '../../src/routing/stream-event.js';
import {StreamRecovery} from '../../src/routing/stream-recovery.js';
import {type StreamRecoveryOptions} from '../../src/routing/stream-recovery-options.js';

const layers = 4;

/** Creates a route with two layers on each of the servers. */
export function createRoute(names: readonly string[]): Route {
	return names.map((server, index) => ({
		server, address: server, firstLayer: index * 2, endLayer: (index * 2) + 2, version: 'v1',
	}));
}

/** Finds a route over one of the servers a1 and a2 and one of b1 and b2. */
export function findRoute(excluded: ReadonlySet<string>): Route | undefined {
	const first = ['a1', 'a2'].find(name => !excluded.has(name));
	const second = ['b1', 'b2'].find(name => !excluded.has(name));
	return first && second ? createRoute([first, second]) : undefined;
}

/** Limits of the streams in these tests; the retry budget is never spent. */
export const options: StreamRecoveryOptions = {
	layers, stallTimeout: 300, firstTokenTimeout: 640, slowTokenGap: 72, deadline: 60_000, findRoute, getRetryDelay: () => 100, tryAcquireRetry: () => true,
};

/** Creates a valid frame of an attempt on a route of two stages. */
export function createFrame(attempt: number, index: number, changes: Partial<Frame> = {}): Frame {
	return {
		attempt,
		index,
		text: `t${index}`,
		receipts: [
			{
				stage: 0, firstLayer: 0, endLayer: 2, version: 'v1',
			},
			{
				stage: 1, firstLayer: 2, endLayer: 4, version: 'v1',
			},
		],
		...changes,
	};
}

/** Creates the status of a stage that knows the attempt. */
export const createStatus = (received: number, forwarded: number, emitted = 0): StageStatus => ({
	isKnown: true, received, forwarded, emitted,
});

/** Creates the recovery of a stream whose first attempt has started, at time 0. */
export function startRecovery(changes: Partial<StreamRecoveryOptions> = {}): StreamRecovery {
	const recovery = new StreamRecovery({...options, ...changes}, 0);
	recovery.handle({kind: StreamEventKind.Begin}, 0);
	return recovery;
}

/** Kinds of the commands, in order. */
export function getKinds(commands: readonly StreamCommand[]): readonly StreamCommandKind[] {
	return commands.map(({kind}) => kind);
}

/** Servers of the route on which the commands start an attempt; empty if they start none. */
export function getNewRoute(commands: readonly StreamCommand[]): readonly string[] {
	const run = commands.find(command => command.kind === StreamCommandKind.Run);
	return run?.route.map(({server}) => server) ?? [];
}

/** Connection of the attempt that the commands start; 0 if they start none. */
export function getNewConnection(commands: readonly StreamCommand[]): number {
	const run = commands.find(command => command.kind === StreamCommandKind.Run);
	return run?.connection ?? 0;
}

/** Passes frames of a connection to the recovery at a monotonic time in milliseconds. */
export function receive(recovery: StreamRecovery, connection: number, frames: readonly Frame[], now: number): readonly StreamCommand[] {
	return recovery.handle({kind: StreamEventKind.Frames, connection, frames}, now);
}

/** Closes a connection at a monotonic time in milliseconds. */
export function close(recovery: StreamRecovery, connection: number, now: number, unreachableServer?: string): readonly StreamCommand[] {
	return recovery.handle({
		kind: StreamEventKind.Closed, connection, reason: 'closed', unreachableServer,
	}, now);
}

/** Tokens that the commands deliver. */
export function getTokens(commands: readonly StreamCommand[]): readonly string[] {
	return commands.flatMap(command => command.kind === StreamCommandKind.Deliver ? command.tokens : []);
}
