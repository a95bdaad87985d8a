/** Names and figures of a small deployment, like those of the pages' sheets. */
export const host = 'ficu95.example';
export const key = 'n2ctnfzs989anu6wsjnb';
export const touchMs = 3000;
export const drainTimeoutMs = 2000;
export const heartbeatIntervalMs = 1200;
export const gracePeriodMs = 8000;

/** Routes to one plain service: actions that run once at most, and lookups. */
export function createPlainConfiguration({
	version = 7, service = 'records-app', timeoutMs = 1500, furtherServices = [],
} = {}) {
	const route = {
		hostname: host, timeoutMs, targetLatencyMs: 386, priority: 2, service, anonymous: false, sessionAffinity: false, streamResume: false,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'r-issue', pathPrefix: '/issue/', routeType: 'non_idempotent', maxAttempts: 1,
			},
			{
				...route, name: 'r-lookup', pathPrefix: '/lookup/', routeType: 'idempotent', maxAttempts: 2,
			},
		],
		services: [service, ...furtherServices].map(name => ({
			name, healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tlsEnabled: false,
		})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'hule930', apiKeys: [key], priority: 1}],
	};
}

/** A route to a model service whose replicas hold ranges of its layers. */
export function createModelConfiguration({version = 7, service = 'draft-llm', loadTimeS = 1} = {}) {
	return {
		version,
		routes: [{
			name: 'r-draft', hostname: host, pathPrefix: '/draft/', routeType: 'streaming', timeoutMs: 20_000, targetLatencyMs: 500, itlTargetMs: 200,
			priority: 1, service, maxAttempts: 2, anonymous: false, sessionAffinity: true, streamResume: true,
		}],
		services: [{
			name: service, healthPath: '/healthz', maxConnections: 1128, protocol: 'h1', tlsEnabled: false,
			inferenceEngine: {
				batchSlots: 134, kvTokenBytes: 1_315_343, bandwidthMbps: 400_000, stepsPerPass: 3,
				loadedModels: [{
					name: 'daka510000', pace: 1, loadTimeS, warmupS: 1,
				}],
				/* eslint-disable camelcase */
				step_ms: 1.02, per_seq_ms: 0.0102, context_per_k: 0.0137, read_per_s: 105_000, report_lag_ms: 200,
				/* eslint-enable camelcase */
				usual: {prompt: 774, answer: 203}, layers: 80, layerSizeMb: 1750, activationBytes: 65_767, transferMbps: 18_000,
				layerKinds: [{
					name: 'a100', sizeMb: 72_000, pace: 2.4, readFactor: 3.2,
				}],
			},
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'hule930', apiKeys: [key], priority: 1}],
	};
}
