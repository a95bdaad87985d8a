import {type LayerRange} from '../pipelines/layer-range.js';

/** Sums up the room of servers for each layer. */
export class LayerRoom {
	/** Change of the sum from the layer before. */
	private readonly changes: number[];

	/** Change of the number of servers from the layer before. */
	private readonly countChanges: number[];

	constructor(private readonly layers: number) {
		this.changes = Array.from({length: layers + 1}, () => 0);
		this.countChanges = Array.from({length: layers + 1}, () => 0);
	}

	/** The smallest sum of any layer that a server has; a layer without servers comes from another zone. */
	get scarcest(): number {
		let sum = 0;
		let count = 0;
		let scarcest = Number.POSITIVE_INFINITY;
		for (let layer = 0; layer < this.layers; layer++) {
			sum += this.changes[layer];
			count += this.countChanges[layer];
			scarcest = count > 0 ? Math.min(scarcest, sum) : scarcest;
		}

		return scarcest;
	}

	/** Adds the room that a server has for each of its layers. */
	add({from, to}: LayerRange, room: number): void {
		this.changes[from] += room;
		this.changes[to] -= room;
		this.countChanges[from]++;
		this.countChanges[to]--;
	}
}
