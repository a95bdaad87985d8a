/** Where an instance learned of a quarantine. */
export enum QuarantineOrigin {
	Analysis = 'analysis',
	Store = 'store',
	Peer = 'peer',
}
