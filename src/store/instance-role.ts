/** Role of an instance in the instance list. */
export enum InstanceRole {
	/** An entry instance of this system. */
	Entry = 'entry',
	/** A backend server that runs a layer range of a model. */
	Engine = 'engine',
	/** A backend server of a plain service. */
	Plain = 'plain',
}
