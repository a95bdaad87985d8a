import {type DecisionLog} from '../observation/decision-log.js';
import {type ReplicatedTable} from '../replication/replicated-table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type ActiveCatalog} from './active-catalog.js';
import {type CatalogDecoder} from './catalog-decoder.js';

/** Activates the configuration that the copy of its table holds. */
export class CatalogReader {
	private lastText?: string;

	constructor(private readonly decoder: CatalogDecoder, private readonly activeCatalog: ActiveCatalog, private readonly log: DecisionLog) {}

	/**
	Activates the configuration if it is newer than the active one. An unreadable one is logged and ignored.

	@param from - where the copy was last updated from, for the log
	*/
	update(table: ReplicatedTable, from: string): void {
		for (const {text, transaction} of table.all()) {
			if (text === undefined || text === this.lastText) {
				continue;
			}

			this.lastText = text;
			try {
				this.activeCatalog.apply(this.decoder.decode(text), from);
			} catch (error) {
				this.log.warn('catalog.unreadable', {transaction, from, reason: getErrorMessage(error)});
			}
		}
	}
}
