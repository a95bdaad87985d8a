/** Priority of a workspace or request. */
export enum Priority {
	High = 'high',
	Normal = 'normal',
	Low = 'low',
}

/** All priorities in descending order. */
export const priorities: readonly Priority[] = [Priority.High, Priority.Normal, Priority.Low];
