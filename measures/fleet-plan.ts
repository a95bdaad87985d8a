import {InstanceRole} from '../src/store/instance-role.js';
import {listedInstanceSchema, type ListedInstance} from '../src/store/listed-instance.js';
import {type ServerState} from '../src/routing/server-state.js';
import {type RandomSource} from '../src/routing/random-source.js';
import {type EngineSettings, engineSettingsSchema} from '../simulators/engine-settings.js';

/** A type of accelerator. For eight layers: fixed milliseconds of a batch, and additional milliseconds for each decoded token and each prefilled position. */
type Accelerator = {
	readonly name: string;
	readonly step: number;
	readonly decode: number;
	readonly prefill: number;
};

const accelerators: readonly Accelerator[] = [
	{
		name: 'kind-a', step: 2, decode: 0.5, prefill: 0.01,
	},
	{
		name: 'kind-b', step: 3, decode: 1, prefill: 0.02,
	},
	{
		name: 'kind-c', step: 4, decode: 1.5, prefill: 0.03,
	},
	{
		name: 'kind-d', step: 6, decode: 2, prefill: 0.05,
	},
];

/** Number of layers of the measured model. */
export const layers = 24;
const batchSize = 8;
const fastLinkRate = 4000;
const slowLinkRate = 40;
const referenceLayers = 8;

/** Size of each request. */
export type Workload = {
	/** Length of the prompt in characters. */
	readonly promptLength: number;
	/** Length of the answer in tokens. */
	readonly tokens: number;
};

const charactersPerToken = 4;
const rangesPlan: ReadonlyArray<readonly [firstLayer: number, endLayer: number, kinds: readonly number[]]> = [
	[0, 8, [0, 1, 2]],
	[8, 16, [0, 2, 3]],
	[16, 24, [1, 1, 3]],
	[0, 12, [0, 2]],
	[12, 24, [0, 3]],
	[8, 24, [1]],
];

/** Plans a fleet with four types of accelerators, uneven layer ranges, and link rates that differ by a factor of 100. */
export function planFleet(random: RandomSource, workload: Workload): readonly EngineSettings[] {
	const plan = rangesPlan.flatMap(([firstLayer, endLayer, kinds], range) => kinds.map((kind, index) => {
		const {name, step, decode, prefill} = accelerators[kind];
		const scale = (endLayer - firstLayer) / referenceLayers;
		const times = {step: step * scale, decode: decode * scale, prefill: prefill * scale};
		return {
			id: `${name}-${range}-${index}`, firstLayer, endLayer, ...times,
		};
	}));
	return plan.map(({id, firstLayer, endLayer, step, decode, prefill}) => {
		const next = plan.filter(other => other.firstLayer === endLayer);
		const links = Object.fromEntries(next.map(other => [other.id, random.nextInteger(3) === 0 ? slowLinkRate : fastLinkRate]));
		const prefillTime = prefill * Math.ceil(workload.promptLength / charactersPerToken);
		const tokenRate = 1000 / ((step / batchSize) + decode + (prefillTime / workload.tokens));
		return engineSettingsSchema.parse({
			id, firstLayer, endLayer, layers, step, decode, prefill, batch: batchSize, links, tokenRate,
		});
	});
}

/** Creates the state of the servers as an idle router sees it, to compute the maximum flow. */
export function createServerStates(fleet: readonly EngineSettings[]): readonly ServerState[] {
	return fleet.map(settings => ({
		listed: createListedInstance(settings, ''),
		report: {
			running: 0, queued: 0, tokenRate: settings.tokenRate, isLeaving: false, links: settings.links,
		},
		ownRunning: 0,
		startedSinceReport: 0,
		suspectUntil: 0,
		failures: 0,
		isLeaving: false,
	}));
}

/** Creates the entry of an engine in the instance list. */
export function createListedInstance({id, firstLayer, endLayer, tokenRate}: EngineSettings, address: string): ListedInstance {
	return listedInstanceSchema.parse({
		id, role: InstanceRole.Engine, state: 'live', address, zone: 'zone-a', service: 'drafting', version: 'v1', firstLayer, endLayer, tokenRate,
	});
}
