/** What the instance list says of an instance. */
export enum InstanceState {
	Live = 'live',
	Leaving = 'leaving',
	Gone = 'gone',
}
