import {getErrorMessage} from '../results/to-failure.js';
import {type DecisionFields, type DecisionLog} from './decision-log.js';

/** Notes when something that this process depends on is lost and when it is back: one line each. */
export class DependencyMonitor {
	private isLost = false;

	/**
	@param name - as it stands in the log
	*/
	constructor(private readonly name: string, private readonly log: DecisionLog) {}

	/** It answered. */
	recordSuccess(fields: DecisionFields = {}): void {
		if (this.isLost) {
			this.isLost = false;
			this.log.write('dependency.regained', {dependency: this.name, ...fields});
		}
	}

	/** It did not answer. */
	recordFailure(error: unknown, fields: DecisionFields = {}): void {
		if (!this.isLost) {
			this.isLost = true;
			this.log.warn('dependency.lost', {dependency: this.name, reason: getErrorMessage(error), ...fields});
		}
	}
}
