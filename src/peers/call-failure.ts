/** A call to another instance that got no complete answer. */
export class CallFailure extends Error {
	/**
	@param afterMs - milliseconds from the start of the call to its failure
	@param receivedBytes - bytes of the answer's body that arrived
	*/
	constructor(message: string, readonly afterMs: number, readonly receivedBytes: number) {
		super(message);
		this.name = 'CallFailure';
	}
}
