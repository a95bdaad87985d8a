/** The tables of the platform's store that every instance has a copy of. */
export enum TableName {
	/** The operator's configuration. */
	Catalog = 'catalog',
	/** The list of backend servers. */
	Servers = 'servers',
	/** The instances that share the backend servers. */
	Instances = 'instances',
}

export const tableNames = [TableName.Catalog, TableName.Servers, TableName.Instances] as const;
