/** State of an instance in the view of another. */
export enum MemberState {
	Alive = 'alive',
	/** The member did not answer probes and is declared dead unless it refutes the suspicion in time. */
	Suspect = 'suspect',
	Dead = 'dead',
}
