import {type CallerLimits} from './caller-limits.js';
import {type Route} from './route.js';
import {type Service} from './service.js';
import {type Workspace} from './workspace.js';

/** One version of the configuration: the routes, their services, and the workspaces that may call them. */
export type Catalog = {
	readonly version: number;
	/** The catalog as its source wrote it, to be sent to other instances. */
	readonly text: string;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Undefined if callers need no API key. */
	readonly workspaces?: readonly Workspace[];
};
