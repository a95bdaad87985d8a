import {type Metrics} from './observation/metrics.js';
import {PipelineSelector, type PipelineSelectorDependencies} from './pipelines/pipeline-selector.js';
import {type SelectionWeights} from './pipelines/selection-weights.js';
import {type BackendServer} from './pipelines/backend-server.js';
import {type PeerLoads} from './peers/peer-loads.js';
import {type RandomSource} from './routing/random-source.js';
import {type FullStageRejection} from './scheduling/full-stage-rejection.js';
import {FullStages} from './scheduling/full-stages.js';
import {OccupancyForecast} from './scheduling/occupancy-forecast.js';
import {PredictedPrices} from './scheduling/predicted-prices.js';
import {StartShares} from './scheduling/start-shares.js';
import {type RouterSettings} from './settings/router-settings.js';

/** What the selection of pipelines is built from. */
export type SelectionDependencies = Omit<PipelineSelectorDependencies, 'getPeerTokens' | 'prices'> & {
	readonly peerLoads: PeerLoads;
	readonly random: RandomSource;
	readonly metrics: Metrics;
};

/** The selection of pipelines, and what it learns from rejections. */
export type Selection = {
	readonly selector: PipelineSelector;
	/** Records that a full stage rejected a request. */
	recordRejection(rejection: FullStageRejection): void;
	/** Removes what is known of servers that are no longer listed. */
	retain(servers: readonly BackendServer[]): void;
};

/** Creates the selection of pipelines by predicted load. */
export function wireSelection({scheduling}: RouterSettings, dependencies: SelectionDependencies, weights: SelectionWeights): Selection {
	const {load, slowdowns, peerLoads, random, metrics} = dependencies;
	const fullStages = new FullStages(scheduling.rejection_memory);
	const forecast = new OccupancyForecast({
		load, fullStages, getPeerForecast: (server, now) => peerLoads.getForecast(server, now),
	}, scheduling.margin);
	const shares = new StartShares(random);
	const prices = new PredictedPrices({
		load, slowdowns, forecast, random, shares, countInstances: now => peerLoads.countReporting(now) + 1,
	}, weights);
	const selector = new PipelineSelector({
		...dependencies,
		getPeerTokens: (server, now) => peerLoads.getTokens(server, now),
		...(scheduling.enabled && {prices}),
	}, weights);
	return {
		selector,
		recordRejection(rejection) {
			const position = rejection.pipeline.findIndex(({server}) => server === rejection.server);
			metrics.count('siskinnotch_full_stage_rejections', 1, {stage: `${position + 1}`});
			prices.recordRejection(rejection);
		},
		retain(servers) {
			fullStages.retain(servers);
			shares.retain(servers);
		},
	};
}
