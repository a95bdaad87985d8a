/** Whether the work of a refused or failed request was carried out. */
export enum Execution {
	/** The work was not carried out and will not be carried out later. */
	NotRun = 'not_run',
	/** The work was carried out completely. */
	Run = 'run',
	/** This instance can't tell; a retry may carry it out a second time. */
	Unknown = 'unknown',
}
