import {getErrorMessage} from '../results/to-failure.js';
import {type DecisionFields, type DecisionLog} from './decision-log.js';

/** Logs when a dependency of this process becomes unavailable and when it is available again, one line each. */
export class DependencyMonitor {
	private isLost = false;

	/**
	@param name - name of the dependency in the log
	*/
	constructor(private readonly name: string, private readonly log: DecisionLog) {}

	/** Records that the dependency responded. */
	recordSuccess(fields: DecisionFields = {}): void {
		if (this.isLost) {
			this.isLost = false;
			this.log.write('dependency.regained', {dependency: this.name, ...fields});
		}
	}

	/** Records that the dependency failed or did not respond. */
	recordFailure(error: unknown, fields: DecisionFields = {}): void {
		if (!this.isLost) {
			this.isLost = true;
			this.log.warn('dependency.lost', {dependency: this.name, reason: getErrorMessage(error), ...fields});
		}
	}
}
