/** What an instance holds of another. */
export enum MemberState {
	Alive = 'alive',
	/** It gave no answer; it is removed unless it refutes that in time. */
	Suspect = 'suspect',
	Dead = 'dead',
}
