import {type ListedInstance} from './listed-instance.js';

/** Changes of the instance list since a revision. */
export type InstanceChanges = {
	readonly revision: number;
	/** Changed entries; a removed entry has the state Gone. */
	readonly changed: readonly ListedInstance[];
};
