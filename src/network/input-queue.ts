import {type InputSource} from './input-source.js';

/** Work of the first level; each further one holds twice as much. */
const firstLevelWork = 256;
const levelCount = 12;

/** Returns the level of a source: the more work it has caused since its last complete request, the higher. The first level is for sources that have completed requests. */
function findLevel({work, hasCompleted}: InputSource): number {
	const level = Math.ceil(Math.log2(Math.max(1, work / firstLevelWork)));
	return Math.min(levelCount - 1, hasCompleted ? level : level + 1);
}

/** A multilevel feedback queue: sources that have caused little work come first, among equals the one that has waited longest. */
export class InputQueue {
	private readonly levels = Array.from({length: levelCount}, () => new Set<InputSource>());
	private readonly levelBySource = new Map<InputSource, Set<InputSource>>();

	/** Number of sources. */
	get size(): number {
		return this.levelBySource.size;
	}

	/** Whether there is a source on the first level. */
	get hasUrgent(): boolean {
		return this.levels[0].size > 0;
	}

	/** Adds a source at the end of its level, or of the first one, unless it is queued. */
	add(source: InputSource, isUrgent = false): void {
		if (!this.levelBySource.has(source)) {
			const level = this.levels[isUrgent ? 0 : findLevel(source)];
			level.add(source);
			this.levelBySource.set(source, level);
		}
	}

	/** Removes and returns the first source; undefined if there is none. */
	take(): InputSource | undefined {
		const [source] = this.levels.find(({size}) => size > 0) ?? [];
		if (source) {
			this.remove(source);
		}

		return source;
	}

	/** Removes a source if it is queued. */
	remove(source: InputSource): void {
		this.levelBySource.get(source)?.delete(source);
		this.levelBySource.delete(source);
	}
}
