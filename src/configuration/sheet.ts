import {createHash} from 'node:crypto';
import {
	getRowKey, type Operation, type Service, type SheetRow, type Workspace,
} from './sheet-row.js';
import {RowKind} from './row-kind.js';

/** Serializes a row so that equal rows give the same text, whatever the order of their fields. */
export function serializeRow(row: SheetRow): string {
	return JSON.stringify(Object.entries(row).toSorted(([left], [right]) => (left < right ? -1 : 1)));
}

/**
The rows of a valid sheet, indexed by the names and keys that callers send.

@example
```
const sheet = new Sheet(rows);
sheet.findWorkspaceByKeyDigest(digest);
```
*/
export class Sheet {
	/** Rows by key, in the order of the keys. */
	readonly rows: ReadonlyMap<string, SheetRow>;
	/** SHA-256 digest of the rows in the order of their keys, in hexadecimal. */
	readonly digest: string;
	private readonly workspacesByKeyDigest = new Map<string, Workspace>();
	private readonly servicesByModel = new Map<string, Service>();

	constructor(rows: Iterable<SheetRow>) {
		const sorted = [...rows].map(row => ({key: getRowKey(row), row})).toSorted((a, b) => (a.key < b.key ? -1 : 1));
		this.rows = new Map(sorted.map(({key, row}) => [key, row]));
		this.digest = createHash('sha256').update([...this.rows.values()].map(row => serializeRow(row)).join('\n')).digest('hex');
		for (const row of this.rows.values()) {
			if (row.kind === RowKind.Workspace) {
				this.workspacesByKeyDigest.set(row.keyDigest, row);
			} else if (row.kind === RowKind.Service && row.model !== '') {
				this.servicesByModel.set(row.model, row);
			}
		}
	}

	findWorkspaceByKeyDigest(digest: string): Workspace | undefined {
		return this.workspacesByKeyDigest.get(digest);
	}

	findServiceByModel(model: string): Service | undefined {
		return this.servicesByModel.get(model);
	}

	findWorkspace(name: string): Workspace | undefined {
		const row = this.rows.get(`${RowKind.Workspace}/${name}`);
		return row?.kind === RowKind.Workspace ? row : undefined;
	}

	findService(name: string): Service | undefined {
		const row = this.rows.get(`${RowKind.Service}/${name}`);
		return row?.kind === RowKind.Service ? row : undefined;
	}

	findOperation(service: string, name: string): Operation | undefined {
		const row = this.rows.get(`${RowKind.Operation}/${service}/${name}`);
		return row?.kind === RowKind.Operation ? row : undefined;
	}

	isGranted(workspace: string, service: string): boolean {
		return this.rows.has(`${RowKind.Grant}/${service}/${workspace}`);
	}

	getWorkspaces(): readonly Workspace[] {
		return [...this.rows.values()].filter(row => row.kind === RowKind.Workspace);
	}

	getServices(): readonly Service[] {
		return [...this.rows.values()].filter(row => row.kind === RowKind.Service);
	}
}
