import {FinishReason} from '../../src/backends/finish-reason.js';
import {type StageStatus} from '../../src/backends/stage-status.js';
import {type StreamCommand, StreamCommandKind} from '../../src/routing/stream-command.js';
import {StreamEventKind} from '../../src/routing/stream-event.js';
import {type StreamRecovery} from '../../src/routing/stream-recovery.js';
import {
	close, createFrame, getTokens, receive,
} from './recovery-fixture.js';

/** Kinds of actions of the model. */
export enum ActionKind {
	Frames,
	Closed,
	Tick,
	Inspected,
}

/** What one attempt does, or the inspection that is answered. */
export type Action = {
	readonly kind: ActionKind;
	/** Position of the attempt among all that were started, modulo their number. */
	readonly attempt: number;
	readonly tokens: number;
	readonly statuses: ReadonlyArray<StageStatus | undefined>;
	readonly unreachableServer?: string;
};

/** An attempt that was started. */
export type StartedAttempt = {
	/** Its current connection. */
	connection: number;
	/** Index of its next token. */
	next: number;
	isCancelled: boolean;
};

/** Index of the last token of the answer. */
export const lastIndex = 11;

/** Attempts that always send their next tokens, carried out by the commands of a stream recovery. Checks that the tokens of running attempts are delivered and that each attempt is cancelled once. */
export class AttemptModel {
	/** The attempts in the order of their numbers. */
	readonly started: StartedAttempt[] = [];
	/** What went wrong, in words. */
	readonly violations: string[] = [];
	/** Number of tokens delivered. */
	delivered = 0;
	private inspected?: number;

	constructor(private readonly recovery: StreamRecovery, commands: readonly StreamCommand[]) {
		this.apply(commands);
	}

	/** The attempts that were not cancelled. */
	get running(): readonly StartedAttempt[] {
		return this.started.filter(({isCancelled}) => !isCancelled);
	}

	/** Performs an action at a monotonic time in milliseconds. */
	perform(action: Action, now: number): void {
		const position = action.attempt % this.started.length;
		const attempt = this.started[position];
		switch (action.kind) {
			case ActionKind.Frames: {
				this.send(attempt, position + 1, action.tokens, now);
				break;
			}

			case ActionKind.Closed: {
				this.apply(close(this.recovery, attempt.connection, now, action.unreachableServer));
				break;
			}

			case ActionKind.Tick: {
				this.apply(this.recovery.handle({kind: StreamEventKind.Tick}, now));
				break;
			}

			case ActionKind.Inspected: {
				const event = {kind: StreamEventKind.Inspected as const, attempt: this.inspected ?? 1, statuses: action.statuses};
				this.apply(this.recovery.handle(event, now));
				break;
			}
		}
	}

	private send(attempt: StartedAttempt, number: number, tokens: number, now: number): void {
		const frames = Array.from({length: Math.min(tokens, lastIndex + 1 - attempt.next)}, (_, offset) => {
			const index = attempt.next + offset;
			return createFrame(number, index, {text: `${number}:${index}`, finish: index === lastIndex ? FinishReason.Stop : undefined});
		});
		const mustDeliver = !attempt.isCancelled && !this.recovery.isOver;
		attempt.next += frames.length;
		const commands = receive(this.recovery, attempt.connection, frames, now);
		this.apply(commands);
		const expected = mustDeliver ? frames.map(({text}) => text) : [];
		if (getTokens(commands).join(' ') !== expected.join(' ')) {
			this.violations.push(`${getTokens(commands).join(' ')} delivered instead of ${expected.join(' ')}`);
		}
	}

	private apply(commands: readonly StreamCommand[]): void {
		for (const command of commands) {
			this.delivered += command.kind === StreamCommandKind.Deliver ? command.tokens.length : 0;
			this.applyToAttempt(command);
		}

		if (this.running.length > 2) {
			this.violations.push(`${this.running.length} attempts run`);
		}
	}

	private applyToAttempt(command: StreamCommand): void {
		switch (command.kind) {
			case StreamCommandKind.Run: {
				this.started.push({connection: command.connection, next: this.delivered, isCancelled: false});
				break;
			}

			case StreamCommandKind.Attach: {
				this.started[command.attempt - 1].connection = command.connection;
				break;
			}

			case StreamCommandKind.Inspect: {
				this.inspected = command.attempt;
				break;
			}

			case StreamCommandKind.Cancel: {
				this.cancel(command.attempt);
				break;
			}

			case StreamCommandKind.Deliver:
			case StreamCommandKind.Suspect:
			case StreamCommandKind.Reject:
			case StreamCommandKind.Finish:
			case StreamCommandKind.Fail: {
				break;
			}
		}
	}

	private cancel(number: number): void {
		const attempt = this.started[number - 1];
		if (attempt.isCancelled) {
			this.violations.push(`attempt ${number} was cancelled twice`);
		}

		attempt.isCancelled = true;
	}
}
