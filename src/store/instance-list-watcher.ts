import {type Logger} from 'winston';
import {getErrorMessage} from '../results/to-failure.js';
import {type InstanceChanges} from './instance-changes.js';
import {type InstanceList} from './instance-list.js';

/** Polls the instance list for changes. */
export class InstanceListWatcher {
	private revision = 0;
	private isPolling = false;

	/**
	@param onChanges - called with the changes of each poll, also if there are none
	*/
	constructor(private readonly list: InstanceList, private readonly onChanges: (changes: InstanceChanges) => void, private readonly log: Logger) {}

	/** Fetches the changes once and passes them on. Does nothing while an earlier poll is in progress. */
	async poll(): Promise<void> {
		if (this.isPolling) {
			return;
		}

		this.isPolling = true;
		try {
			const changes = await this.list.changesSince(this.revision);
			// The list was restored to an earlier revision: the next poll reads it whole.
			this.revision = changes.revision < this.revision ? 0 : changes.revision;
			this.onChanges(changes);
		} catch (error) {
			this.log.warn(`Failed to read the instance list: ${getErrorMessage(error)}.`);
		} finally {
			this.isPolling = false;
		}
	}
}
