import {type EngineModel} from '../src/pipelines/engine-model.js';

/** A model with 80 layers that three types of accelerators can serve. */
export const sampleModel: EngineModel = {
	layers: 80,
	layerMegabytes: 1750,
	tokenBytes: 1_315_343,
	slots: 134,
	stepTime: 1.02,
	stepTimePerRequest: 0.01,
	stepTimePerThousandTokens: 0.0137,
	prefillRate: 105,
	tokensPerEvent: 3,
	activationBytes: 65_767,
	interzoneMegabits: 18_000,
	usualPrompt: 774,
	usualAnswer: 203,
	loadTime: 14_000,
	acceleratorTypes: new Map([
		['large', {
			name: 'large', megabytes: 72_000, pace: 2.4, readFactor: 3.2,
		}],
		['middle', {
			name: 'middle', megabytes: 43_200, pace: 5.6, readFactor: 2.7,
		}],
		['small', {
			name: 'small', megabytes: 21_600, pace: 16, readFactor: 8.2,
		}],
	]),
};
