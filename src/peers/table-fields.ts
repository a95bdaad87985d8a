import {TableName, tableNames} from '../replication/table-name.js';

/** Tables that every build knows. An instance of an earlier build rejects a message that names another table beside them. */
export const originalTableNames = [TableName.Catalog, TableName.Servers, TableName.Instances] as const;

type OriginalTableName = typeof originalTableNames[number];

/** A value for some of the tables. */
export type ByTable<Value> = Partial<Record<TableName, Value>>;

/** The two fields of a message that hold a value for some of the tables. */
export type TableFields<Value> = {
	readonly original: Partial<Record<OriginalTableName, Value>>;
	/** Values of all other tables, by name; undefined if there are none. */
	readonly further?: Record<string, Value>;
};

function isOriginal(name: TableName): name is OriginalTableName {
	const originalNames: readonly TableName[] = originalTableNames;
	return originalNames.includes(name);
}

/** Divides the values between the two fields of a message. */
export function divideByBuild<Value>(values: ByTable<Value>): TableFields<Value> {
	const original: Partial<Record<OriginalTableName, Value>> = {};
	const further: Record<string, Value> = {};
	for (const name of tableNames) {
		const value = values[name];
		if (value === undefined) {
			continue;
		}

		if (isOriginal(name)) {
			original[name] = value;
		} else {
			further[name] = value;
		}
	}

	return {original, ...(Object.keys(further).length > 0 && {further})};
}

/** Joins the two fields of a message. Tables that this build does not know are ignored. */
export function joinTables<Value>({original, further = {}}: TableFields<Value>): ByTable<Value> {
	const values: ByTable<Value> = {...original};
	for (const name of tableNames) {
		if (!isOriginal(name) && Object.hasOwn(further, name)) {
			values[name] = further[name];
		}
	}

	return values;
}
