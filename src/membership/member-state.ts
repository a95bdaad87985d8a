/** State of an instance in the view of another. */
export enum MemberState {
	Alive = 'alive',
	/** It did not answer probes; it is declared dead unless it refutes the suspicion in time. */
	Suspect = 'suspect',
	Dead = 'dead',
}
