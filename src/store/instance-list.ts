import {type InstanceChanges} from './instance-changes.js';

/** The platform's list of live and leaving instances. It lags. Each method throws PlatformError. */
export abstract class InstanceList {
	/** What changed after the revision; revision 0 asks for the whole list. */
	abstract changesSince(revision: number): Promise<InstanceChanges>;
}
