/** Steps of a one-time action, as its row in the table records them. */
export enum ActionState {
	/** A holder wants to send it; it has not been sent. Another holder may take it over. */
	Claimed = 'claimed',
	/** It may have been sent. Nobody else sends it, ever. */
	Sent = 'sent',
	/** Its holder gave it up before sending; it was not run. */
	Released = 'released',
	/** The backend server's answer is recorded. */
	Done = 'done',
}
