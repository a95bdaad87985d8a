/** Consecutive layers of a model. */
export type LayerRange = {
	readonly from: number;
	/** Exclusive. */
	readonly to: number;
};

/** Whether both ranges are equal; two undefined ranges are. */
export function isSameRange(left: LayerRange | undefined, right: LayerRange | undefined): boolean {
	return left?.from === right?.from && left?.to === right?.to;
}

export function getLayerCount(range: LayerRange): number {
	return range.to - range.from;
}
