import {type DecisionLog} from '../observation/decision-log.js';
import {type TimerService} from '../time/timer-service.js';
import {type Catalog} from './catalog.js';
import {CatalogIndex} from './catalog-index.js';

/** Holds the newest catalog that this process has received. Its version never decreases. */
export class ActiveCatalog {
	private index?: CatalogIndex;
	private readonly listeners = new Set<(catalog: Catalog) => void>();

	constructor(private readonly log: DecisionLog, private readonly timers: TimerService) {}

	/** The active catalog with its index; undefined before the first catalog. */
	get current(): CatalogIndex | undefined {
		return this.index;
	}

	/** Version of the active catalog; -1 before the first. */
	get version(): number {
		return this.index?.catalog.version ?? -1;
	}

	/**
	Activates a catalog if it is newer than the active one, and notifies the listeners.

	@param origin - where the catalog came from, for the log
	@returns whether it was activated
	*/
	apply(catalog: Catalog, origin: string): boolean {
		if (catalog.version <= this.version) {
			return false;
		}

		const startedAt = this.timers.now();
		const previous = this.version;
		this.index = new CatalogIndex(catalog);
		this.log.write('catalog.taken', {
			version: catalog.version, previous, origin, routes: catalog.routes.length, tookMs: Math.round(this.timers.now() - startedAt),
		});
		for (const listener of this.listeners) {
			listener(catalog);
		}

		return true;
	}

	/** Calls the listener with each catalog that is activated. */
	onChange(listener: (catalog: Catalog) => void): void {
		this.listeners.add(listener);
	}
}
