/** Buckets per doubling of a value: neighbouring edges differ by 19 percent. */
const bucketsPerDoubling = 4;

/** Buckets whose edges grow by a constant factor. The first one begins at 0, and the last one holds whatever exceeds its edge. */
export class LogBuckets {
	/** Upper edges, in increasing order. */
	readonly edges: Float64Array;

	/**
	@param lowest - binary logarithm of the lowest edge
	@param highest - binary logarithm of the highest edge
	*/
	constructor(private readonly lowest: number, highest: number) {
		this.edges = Float64Array.from({length: ((highest - lowest) * bucketsPerDoubling) + 1}, (_, index) => 2 ** (lowest + (index / bucketsPerDoubling)));
	}

	get count(): number {
		return this.edges.length;
	}

	/** Returns the index of the bucket that holds a value. */
	locate(value: number): number {
		return value <= this.edges[0] ? 0 : Math.min(this.count - 1, Math.ceil((Math.log2(value) - this.lowest) * bucketsPerDoubling));
	}

	/** Returns the lower edge of a bucket. */
	getLowerEdge(index: number): number {
		return index === 0 ? 0 : this.edges[index - 1];
	}

	/** Returns the middle of a bucket. */
	getMiddle(index: number): number {
		return (this.getLowerEdge(index) + this.edges[index]) / 2;
	}
}

/** Buckets of answer lengths, up to 131,072 tokens. */
export const lengthBuckets = new LogBuckets(0, 17);
/** Buckets of the ratio of actual to estimated length. */
export const ratioBuckets = new LogBuckets(-10, 10);
