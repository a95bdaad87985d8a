/** The tables of the platform's store that every instance has a copy of. */
export enum TableName {
	/** The operator's configuration. */
	Catalog = 'catalog',
	/** The list of backend servers. */
	Servers = 'servers',
	/** The instances that share the backend servers. */
	Instances = 'instances',
	/** The prompt parts that are under quarantine. */
	Quarantine = 'quarantine',
}

export const tableNames = [TableName.Catalog, TableName.Servers, TableName.Instances, TableName.Quarantine] as const;
