import {type ListedInstance} from './listed-instance.js';

/** What changed in the instance list since a revision. */
export type InstanceChanges = {
	readonly revision: number;
	/** Changed entries; an entry that is gone has the state Gone. */
	readonly changed: readonly ListedInstance[];
};
