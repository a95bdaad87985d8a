import * as z from 'zod';
import {type Stage} from '../src/backends/stage.js';
import {type EngineCache} from './engine-cache.js';
import {type EngineLinks} from './engine-links.js';
import {type EngineAttempt} from './work-item.js';

const positionsSchema = z.object({positions: z.number()});
const queryPositionsSchema = z.object({request: z.string(), prompt: z.string()});
const exportSchema = z.object({request: z.string(), to: z.string()});
const importSchema = z.object({request: z.string(), positions: z.number()});

/** Queries and copies of KV caches between engine simulators. */
export class CacheExchange {
	constructor(private readonly cache: EngineCache, private readonly links: EngineLinks) {}

	/** Queries how many positions of an attempt another stage has cached; undefined if the stage cannot be reached. */
	async queryPositions(stage: Stage, {request, prompt}: EngineAttempt): Promise<number | undefined> {
		const answer = await this.links.post(stage.address, '/cache/positions', {request, prompt});
		return answer === undefined ? undefined : positionsSchema.parse(JSON.parse(answer)).positions;
	}

	/** Answers the query of another stage. */
	answerPositions(body: unknown): unknown {
		const {request, prompt} = queryPositionsSchema.parse(body);
		return {positions: this.cache.findPositions(request, prompt)};
	}

	/** Copies the cached positions of a request to another server. */
	async export(body: unknown): Promise<unknown> {
		const {request, to} = exportSchema.parse(body);
		const positions = this.cache.findPositions(request, '');
		await this.links.post(to, '/cache/import', {request, positions});
		return {positions};
	}

	/** Stores the cached positions of a request that another server has copied here. */
	import(body: unknown): unknown {
		const {request, positions} = importSchema.parse(body);
		this.cache.put(request, '', positions);
		return {positions};
	}
}
