/** State of an instance in the instance list. */
export enum InstanceState {
	Live = 'live',
	Leaving = 'leaving',
	Gone = 'gone',
}
