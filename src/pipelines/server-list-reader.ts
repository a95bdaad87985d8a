import {type DecisionLog} from '../observation/decision-log.js';
import {type ReplicatedTable} from '../replication/replicated-table.js';
import {type TableRow} from '../replication/table-update.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type BackendServer} from './backend-server.js';
import {type ServerDecoder} from './server-decoder.js';
import {type ServerDirectory} from './server-directory.js';

export type ServerListReaderDependencies = {
	readonly decoder: ServerDecoder;
	readonly directory: ServerDirectory;
	readonly log: DecisionLog;
	/** Called after each reading is applied. */
	readonly onRead: () => void;
};

type DecodedRow = {
	readonly text?: string;
	/** Undefined if the row cannot be decoded. */
	readonly server?: BackendServer;
};

const maxReasonLength = 200;

/** Applies the copy of the server list to the directory. */
export class ServerListReader {
	private decodedRows = new Map<string, DecodedRow>();
	/** Whether entries may be missing from the last applied reading because their leases expired while the store was unavailable. */
	private mayBeIncomplete = false;

	/**
	@param recoveryGrace - milliseconds after an outage for which entries may be missing although their servers are running
	*/
	constructor(private readonly dependencies: ServerListReaderDependencies, private readonly recoveryGrace: number) {}

	/** Applies the rows after a change. */
	update(table: ReplicatedTable): void {
		const decodedRows = new Map([...table.all()].map(row => [row.key, this.decode(row)]));
		this.decodedRows = decodedRows;
		this.applyReading(table);
	}

	/** Records that the store confirmed the copy, and removes the servers that are still missing after the grace that follows an outage. */
	confirm(table: ReplicatedTable): void {
		if (this.mayBeIncomplete && !this.isRecovering(table)) {
			this.applyReading(table);
		} else {
			this.dependencies.directory.markRead(table.confirmation.confirmedAt);
		}
	}

	private isRecovering({confirmation: {confirmedAt, outageAt}}: ReplicatedTable): boolean {
		return confirmedAt - outageAt < this.recoveryGrace;
	}

	private applyReading(table: ReplicatedTable): void {
		const {directory, onRead} = this.dependencies;
		this.mayBeIncomplete = this.isRecovering(table);
		const servers = [...this.decodedRows.values()].flatMap(({server}) => server ?? []);
		directory.applyReading({servers, requestedAt: table.confirmation.confirmedAt, mayBeIncomplete: this.mayBeIncomplete});
		onRead();
	}

	/** Decodes a row, unless it has not changed since it was decoded. */
	private decode({key, transaction, text}: TableRow): DecodedRow {
		const known = this.decodedRows.get(key);
		if (known && known.text === text) {
			return known;
		}

		try {
			return {text, server: this.dependencies.decoder.decode(key, text ?? '')};
		} catch (error) {
			this.dependencies.log.warn('server.entry_unreadable', {server: key, transaction, reason: getErrorMessage(error).replaceAll(/\s+/gv, ' ').slice(0, maxReasonLength)});
			return {text};
		}
	}
}
