import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {type CrashRumors} from './crash-rumors.js';

export type ClearedAnswersDependencies = {
	readonly crashRumors: Pick<CrashRumors, 'addCleared'>;
	readonly countInstances: () => number;
	readonly random: RandomSource;
	readonly timers: TimerService;
	/** Called when there is something to pass on. */
	readonly onNews: () => void;
};

/** Instances that answer a report at once, on average, where all could; as many as there are if they are fewer. */
const immediateAnswers = 4;

/** Tells the other instances of suspected prompt parts that this one saw work. Since many may have, a few say so at once, and the others only if nobody has after a while. */
export class ClearedAnswers {
	/**
	@param delay - least time in milliseconds after which an instance answers that does not at once; at most twice that
	*/
	constructor(private readonly dependencies: ClearedAnswersDependencies, private readonly delay: number) {}

	/** Answers a report that suspects these parts. */
	answer(parts: readonly string[]): void {
		const {countInstances, random, timers} = this.dependencies;
		if (random.nextFraction() * countInstances() < immediateAnswers) {
			this.passOn(parts);
			return;
		}

		timers.after(this.delay * (1 + random.nextFraction()), () => {
			this.passOn(parts);
		});
	}

	private passOn(parts: readonly string[]): void {
		const {crashRumors, timers, onNews} = this.dependencies;
		if (crashRumors.addCleared(parts, timers.now())) {
			onNews();
		}
	}
}
