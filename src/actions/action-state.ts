/** States of a one-time action, as recorded in its table row. */
export enum ActionState {
	/** An attempt intends to send the action but has not sent it. Another attempt may take over. */
	Claimed = 'claimed',
	/** The action may have been sent. No other attempt ever sends it. */
	Sent = 'sent',
	/** The attempt ended without the action being run. Another attempt may claim it. */
	Released = 'released',
	/** The answer of the backend server is recorded. */
	Done = 'done',
}
