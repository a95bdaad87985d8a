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
const longestChain = 50;

const headSchema = z.object({version: z.number().int(), digest: z.string(), submission: z.string()});
const storedSheetSchema = z.object({version: z.number().int(), rows: z.array(sheetRowSchema)});

/** The newest accepted version, as the table's head row names it. */
export type ConfigurationHead = z.infer<typeof headSchema>;

function versionKey(version: number): string {
	return versionPrefix + String(version).padStart(versionDigits, '0');
}

/** Accepted sheets in the platform's table: a head row, the newest sheet whole, and one difference for each version. */
export class ConfigurationStore {
	constructor(private readonly table: Table) {}

	/** The newest accepted version. Throws PlatformError. */
	async readHead(): Promise<ConfigurationHead> {
		const row = await this.table.read(headKey);
		return row ? headSchema.parse(JSON.parse(row.value)) : {version: 0, digest: emptyConfiguration.sheet.digest, submission: ''};
	}

	/** The records of the versions after one up to another, in order. Throws PlatformError. */
	async readVersionRecords(after: number, upTo: number): Promise<readonly VersionRecord[]> {
		const versions = Array.from({length: Math.max(0, upTo - after)}, (_, index) => after + index + 1);
		const rows = await Promise.all(versions.map(async version => this.table.read(versionKey(version))));
		return rows.filter(row => row !== undefined).map(row => versionRecordSchema.parse(JSON.parse(row.value)));
	}

	/** All records. Throws PlatformError. */
	async readHistory(): Promise<readonly VersionRecord[]> {
		const rows = await this.table.scan(versionPrefix);
		return rows.map(row => versionRecordSchema.parse(JSON.parse(row.value)));
	}

	/**
	The newest configuration, by differences from a known one where few are missing.

	@throws PlatformError
	*/
	async readNewest(known: Configuration, head: ConfigurationHead): Promise<Configuration> {
		if (known.version >= head.version) {
			return known;
		}

		if (head.version - known.version <= longestChain) {
			const chain = await this.readVersionRecords(known.version, head.version);
			if (chain.length === head.version - known.version) {
				let {sheet} = known;
				for (const {difference} of chain) {
					sheet = applyDifference(sheet, difference);
				}

				return {version: head.version, sheet};
			}
		}

		return this.whole();
	}

	/** Accepts a sheet as the next version, unless another version has come in between. Throws PlatformError. */
	async writeVersion(acceptance: VersionRecord, sheet: Sheet): Promise<TransactionResult> {
		const expected = acceptance.version - 1;
		const head: ConfigurationHead = {version: acceptance.version, digest: acceptance.digest, submission: acceptance.submission};
		return this.table.transact([
			{key: headKey, expected, value: JSON.stringify(head)},
			{key: sheetKey, expected, value: JSON.stringify({version: acceptance.version, rows: [...sheet.rows.values()]})},
			{key: versionKey(acceptance.version), expected: 0, value: JSON.stringify(acceptance)},
		]);
	}

	private async whole(): Promise<Configuration> {
		const row: Row | undefined = await this.table.read(sheetKey);
		if (!row) {
			return emptyConfiguration;
		}

		const stored = storedSheetSchema.parse(JSON.parse(row.value));
		return {version: stored.version, sheet: new Sheet(stored.rows)};
	}
}
