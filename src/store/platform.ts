import {type InstanceList} from './instance-list.js';
import {type ObjectStore} from './object-store.js';
import {type Table} from './table.js';
import {type WeightStore} from './weight-store.js';

/** The platform services that the system depends on. To support another platform, extend this class. */
export abstract class Platform {
	abstract readonly table: Table;
	abstract readonly objects: ObjectStore;
	abstract readonly instances: InstanceList;
	abstract readonly weights: WeightStore;
}
