import {type CallerLimits} from './caller-limits.js';
import {type Route} from './route.js';
import {type Service} from './service.js';
import {type Workspace} from './workspace.js';

/** One version of the configuration: what may be called, by whom, and where it goes. */
export type Catalog = {
	readonly version: number;
	/** As the source wrote it, to be passed on to other instances. */
	readonly text: string;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Undefined where callers need no keys. */
	readonly workspaces?: readonly Workspace[];
};
