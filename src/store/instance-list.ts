import {type InstanceChanges} from './instance-changes.js';

/** The platform's list of live and leaving instances. It lags behind the actual state. Each method throws PlatformError. */
export abstract class InstanceList {
	/** Fetches the changes after a revision; revision 0 returns the whole list. */
	abstract changesSince(revision: number): Promise<InstanceChanges>;
}
