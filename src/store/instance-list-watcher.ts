import {type Logger} from 'winston';
import {getErrorMessage} from '../results/to-failure.js';
import {type InstanceChanges} from './instance-changes.js';
import {type InstanceList} from './instance-list.js';

/** Follows the instance list by its changes. */
export class InstanceListWatcher {
	private revision = 0;
	private isPolling = false;

	/**
	@param take - takes over what changed
	*/
	constructor(private readonly list: InstanceList, private readonly take: (changes: InstanceChanges) => void, private readonly log: Logger) {}

	/** Asks once for what changed. */
	async poll(): Promise<void> {
		if (this.isPolling) {
			return;
		}

		this.isPolling = true;
		try {
			const changes = await this.list.changesSince(this.revision);
			// A list that was restored to an earlier revision is read whole.
			this.revision = changes.revision < this.revision ? 0 : changes.revision;
			this.take(changes);
		} catch (error) {
			this.log.warn(`The instance list cannot be read: ${getErrorMessage(error)}.`);
		} finally {
			this.isPolling = false;
		}
	}
}
