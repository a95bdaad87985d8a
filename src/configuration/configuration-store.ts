import * as z from 'zod';
import {type Row} from '../store/row.js';
import {type Table} from '../store/table.js';
import {type TransactionResult} from '../store/transaction-result.js';
import {type VersionRecord, versionRecordSchema} from './version-record.js';
import {type Configuration} from './configuration.js';
import {emptyConfiguration} from './active-configuration.js';
import {applyDifference} from './sheet-difference.js';
import {sheetRowSchema} from './sheet-row.js';
import {Sheet} from './sheet.js';

const headKey = 'configuration/head';
const sheetKey = 'configuration/sheet';
const versionPrefix = 'configuration/version/';
const versionDigits = 10;
/** Number of missing versions above which the whole sheet is read instead of one difference for each version. */
const maxDifferences = 50;

const headSchema = z.object({version: z.number().int(), digest: z.string(), submission: z.string()});
const storedSheetSchema = z.object({version: z.number().int(), rows: z.array(sheetRowSchema)});

/** The table's head row: version, digest and submission id of the newest accepted sheet. */
export type ConfigurationHead = z.infer<typeof headSchema>;

// Versions are padded with zeros so that the lexical order of the keys is the order of the versions.
function createVersionKey(version: number): string {
	return versionPrefix + String(version).padStart(versionDigits, '0');
}

/** Reads and writes accepted sheets in the platform's table, which holds a head row, the newest sheet in full, and one record with a difference for each version. */
export class ConfigurationStore {
	constructor(private readonly table: Table) {}

	/**
	Reads the head row; version 0 and the empty sheet where no sheet was accepted yet.

	@throws PlatformError
	*/
	async readHead(): Promise<ConfigurationHead> {
		const row = await this.table.read(headKey);
		return row ? headSchema.parse(JSON.parse(row.value)) : {version: 0, digest: emptyConfiguration.sheet.digest, submission: ''};
	}

	/**
	Reads the records of the versions above `after` up to and including `upTo`, in ascending order. Records that are not in the table are left out.

	@throws PlatformError
	*/
	async readVersionRecords(after: number, upTo: number): Promise<readonly VersionRecord[]> {
		const versions = Array.from({length: Math.max(0, upTo - after)}, (_, index) => after + index + 1);
		const rows = await Promise.all(versions.map(async version => this.table.read(createVersionKey(version))));
		return rows.filter(row => row !== undefined).map(row => versionRecordSchema.parse(JSON.parse(row.value)));
	}

	/**
	Reads the records of all versions.

	@throws PlatformError
	*/
	async readHistory(): Promise<readonly VersionRecord[]> {
		const rows = await this.table.scan(versionPrefix);
		return rows.map(row => versionRecordSchema.parse(JSON.parse(row.value)));
	}

	/**
	Reads the newest configuration. Applies stored differences to the known configuration where at most 50 versions are missing, and reads the whole sheet otherwise.

	@param known - the configuration to start from; returned unchanged if it is not older than the head
	@throws PlatformError
	*/
	async readNewest(known: Configuration, head: ConfigurationHead): Promise<Configuration> {
		if (known.version >= head.version) {
			return known;
		}

		if (head.version - known.version <= maxDifferences) {
			const records = await this.readVersionRecords(known.version, head.version);
			if (records.length === head.version - known.version) {
				let {sheet} = known;
				for (const {difference} of records) {
					sheet = applyDifference(sheet, difference);
				}

				return {version: head.version, sheet};
			}
		}

		return this.readWholeSheet();
	}

	/**
	Writes a sheet as the next version, in one transaction that is conditional on the previous version being the head.

	@returns a transaction result that is not applied if another version was written first
	@throws PlatformError
	*/
	async writeVersion(record: VersionRecord, sheet: Sheet): Promise<TransactionResult> {
		const expected = record.version - 1;
		const head: ConfigurationHead = {version: record.version, digest: record.digest, submission: record.submission};
		return this.table.transact([
			{key: headKey, expected, value: JSON.stringify(head)},
			{key: sheetKey, expected, value: JSON.stringify({version: record.version, rows: [...sheet.rows.values()]})},
			{key: createVersionKey(record.version), expected: 0, value: JSON.stringify(record)},
		]);
	}

	private async readWholeSheet(): Promise<Configuration> {
		const row: Row | undefined = await this.table.read(sheetKey);
		if (!row) {
			return emptyConfiguration;
		}

		const stored = storedSheetSchema.parse(JSON.parse(row.value));
		return {version: stored.version, sheet: new Sheet(stored.rows)};
	}
}
