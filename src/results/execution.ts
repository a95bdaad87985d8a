/** Whether the work of a refused or failed request was carried out. */
export enum Execution {
	/** It was not run, and will not be run later. */
	NotRun = 'not_run',
	/** It was run to its end. */
	Run = 'run',
	/** Nobody can tell from here; it must not be repeated blindly. */
	Unknown = 'unknown',
}
