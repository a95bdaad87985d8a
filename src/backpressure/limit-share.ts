import {createHash} from 'node:crypto';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type BucketRate} from './token-bucket.js';

/** An instance among those that share the limit of a backend server. */
export type SharingInstance = {
	readonly id: string;
	readonly availabilityZone: string;
};

/** Weight of an instance in the server's own availability zone, whose requests go there first; the others weigh 1. */
const nearWeight = 3;
/** Least rate at which a server is tried, in requests per second of all instances, so that the end of a limit of zero is noticed. */
const minRequestsPerSecond = 0.2;
/** Bursts of all instances together, as seconds of the limit plus a number of requests. */
const burstSeconds = 1;
const burstRequests = 2;
/** Instances that send requests to one server, as seconds of the limit plus a number of instances. Each of them may send a request at the same moment. */
const sharingSeconds = 2;
const sharingInstances = 4;

function computeRank(server: BackendServer, {id}: SharingInstance): string {
	return createHash('sha256').update(`${server.id} ${id}`).digest('hex');
}

/**
Returns the instances that send requests to a server with a limit, by rendezvous hashing among those of its availability zone first (D. G. Thaler, C. V. Ravishankar, Using name-based mappings to increase hit rates, IEEE/ACM Transactions on Networking, 1998).

A low limit is shared by few instances, since a share that is far below one request is of no use.
*/
function selectSharingInstances(server: BackendServer, perSecond: number, instances: readonly SharingInstance[]): readonly SharingInstance[] {
	const count = Math.floor((sharingSeconds * perSecond) + sharingInstances);
	if (instances.length <= count) {
		return instances;
	}

	const isFar = ({availabilityZone}: SharingInstance) => Number(availabilityZone !== server.availabilityZone);
	const ranked = instances.map(instance => ({instance, rank: computeRank(server, instance)}));
	return ranked
		.toSorted((left, right) => isFar(left.instance) - isFar(right.instance) || (left.rank < right.rank ? -1 : 1))
		.slice(0, count)
		.map(({instance}) => instance);
}

/**
Computes an instance's share of the request rate that a server accepts from all instances together.

@param limit - requests per second
@param instances - all instances, including `self`
@returns undefined if the instance has no share
*/
export function computeLimitShare(server: BackendServer, limit: number, self: string, instances: readonly SharingInstance[]): BucketRate | undefined {
	const perSecond = Math.max(minRequestsPerSecond, limit);
	const sharing = selectSharingInstances(server, perSecond, instances);
	const computeWeight = ({availabilityZone}: SharingInstance) => availabilityZone === server.availabilityZone ? nearWeight : 1;
	const own = sharing.find(({id}) => id === self);
	if (!own) {
		return undefined;
	}

	const fraction = computeWeight(own) / sharing.reduce((sum, instance) => sum + computeWeight(instance), 0);
	return {perSecond: perSecond * fraction, burst: Math.max(1, fraction * ((perSecond * burstSeconds) + burstRequests))};
}
