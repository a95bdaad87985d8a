/** Priorities of workspaces and requests, most urgent first. */
export enum Priority {
	High = 'high',
	Normal = 'normal',
	Low = 'low',
}

/** All priorities, most urgent first. */
export const priorities: readonly Priority[] = [Priority.High, Priority.Normal, Priority.Low];
