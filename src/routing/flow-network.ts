type Edge = {
	readonly to: number;
	capacity: number;
	readonly reverse: number;
};

/**
Maximum flow by Dinic's algorithm (E. A. Dinic, 1970): blocking flows along shortest paths.

@example
```
const network = new FlowNetwork(4);
const edge = network.addEdge(0, 1, 10);
network.maximize(0, 3);
network.flowOf(0, edge);
```
*/
export class FlowNetwork {
	private readonly edges: Edge[][];
	private readonly capacities = new Map<Edge, number>();
	private levels: number[] = [];
	private nextEdge: number[] = [];

	constructor(nodes: number) {
		this.edges = Array.from({length: nodes}, () => []);
	}

	/** Adds a directed edge and returns its index among the edges of its start node. */
	addEdge(from: number, to: number, capacity: number): number {
		const edge = {to, capacity, reverse: this.edges[to].length};
		this.capacities.set(edge, capacity);
		this.edges[from].push(edge);
		this.edges[to].push({to: from, capacity: 0, reverse: this.edges[from].length - 1});
		return this.edges[from].length - 1;
	}

	/** The flow through an edge after a call of `maximize`. */
	getFlow(from: number, edgeIndex: number): number {
		const edge = this.edges[from][edgeIndex];
		return (this.capacities.get(edge) ?? 0) - edge.capacity;
	}

	/** Computes the maximum flow and returns its total. */
	maximize(source: number, sink: number): number {
		let total = 0;
		while (this.assignLevels(source, sink)) {
			this.nextEdge = this.edges.map(() => 0);
			for (let pushed = this.pushFlow(source, sink, Number.POSITIVE_INFINITY); pushed > 0; pushed = this.pushFlow(source, sink, Number.POSITIVE_INFINITY)) {
				total += pushed;
			}
		}

		return total;
	}

	private assignLevels(source: number, sink: number): boolean {
		this.levels = this.edges.map(() => -1);
		this.levels[source] = 0;
		const queue = [source];
		for (const node of queue) {
			for (const edge of this.edges[node]) {
				if (edge.capacity > 0 && this.levels[edge.to] < 0) {
					this.levels[edge.to] = this.levels[node] + 1;
					queue.push(edge.to);
				}
			}
		}

		return this.levels[sink] >= 0;
	}

	private pushFlow(node: number, sink: number, limit: number): number {
		if (node === sink) {
			return limit;
		}

		for (; this.nextEdge[node] < this.edges[node].length; this.nextEdge[node]++) {
			const edge = this.edges[node][this.nextEdge[node]];
			if (edge.capacity <= 0 || this.levels[edge.to] !== this.levels[node] + 1) {
				continue;
			}

			const pushed = this.pushFlow(edge.to, sink, Math.min(limit, edge.capacity));
			if (pushed > 0) {
				edge.capacity -= pushed;
				this.edges[edge.to][edge.reverse].capacity += pushed;
				return pushed;
			}
		}

		return 0;
	}
}
