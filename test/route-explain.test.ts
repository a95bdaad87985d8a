import {createServer} from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import test, {type ExecutionContext} from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {freePort} from '../harness/ports.js';
import {ActiveCatalog} from '../src/catalog/active-catalog.js';
import {explainRequestRoute} from '../src/command/selection-command.js';
import {listen} from '../src/network/listen.js';
import {createGossipProcedures} from '../src/peers/gossip-procedures.js';
import {SelectionRequestHandler} from '../src/peers/selection-request-handler.js';
import {type PipelineRequest} from '../src/pipelines/pipeline-request.js';
import {ResultCode} from '../src/results/result-code.js';
import {Exclusion, type SelectionExplanation} from '../src/scheduling/selection-explanation.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {createCatalog, createRoute} from './support/sample-catalog.js';
import {RecordingLog} from './support/sample-fleet.js';

const secret = 'secret-of-operators';
const candidate = {
	server: 'b1', availabilityZone: 'zone-a', range: {from: 0, to: 80}, times: {firstEventMs: 210.4, eventGapMs: 31}, limit: 3600, exclusion: Exclusion.Memory,
};

/** Starts the peer interface of a pipeline router whose selections have this explanation. */
async function startRouter(t: ExecutionContext, explanation: SelectionExplanation, requests: PipelineRequest[] = []): Promise<string> {
	const timers = new ManualTimerService();
	const activeCatalog = new ActiveCatalog(new RecordingLog(), timers);
	const catalog = createCatalog(1, [createRoute('/drafts/', {name: 'drafts'})]);
	activeCatalog.apply({...catalog, services: new Map([['a', {...catalog.services.get('a')!, engine: sampleModel}]])}, 'test');
	const handler = new SelectionRequestHandler({
		secret,
		activeCatalog,
		selector: {
			select: () => undefined,
			explain(request) {
				requests.push(request);
				return explanation;
			},
		},
		getOccupancyLimit: () => 0.9,
		timers,
	});
	const router = createGossipProcedures({exchange: message => message}, {lend: () => 0}, handler);
	const server = createServer(createHTTPHandler({router, createContext: ({req: request}) => ({authorization: request.headers.authorization})}));
	const port = await freePort();
	await listen(server, '127.0.0.1', port);
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return `127.0.0.1:${port}`;
}

// Guards against sizes of the command line that do not reach the selection.
test('route explain prints the pipeline of a pipeline router, with the tokens that were given', async t => {
	const requests: PipelineRequest[] = [];
	const chosen = [{server: 'b1', range: {from: 0, to: 80}}];
	const instance = await startRouter(t, {chosen, times: {firstEventMs: 210.4, eventGapMs: 31}, candidates: [candidate]}, requests);
	const {code, text} = await explainRequestRoute({instance, secret}, {route: 'drafts', promptTokens: 4000, answerTokens: 100});
	t.is(code, ResultCode.Success);
	t.like(requests[0], {tokens: 4100, promptTokens: 4000, occupancyLimit: 0.9});
	t.regex(text, /pipeline: b1 \[0-80\); first event after 210\.4 ms, then every 31\.0 ms/v);
	t.regex(text, /0-80 +b1 +zone-a +210\.4 +31\.0 +- +3600 +- +no free memory/v);
});

test('route explain has exit codes for no pipeline, an unknown route and a wrong secret', async t => {
	const instance = await startRouter(t, {candidates: [candidate]});
	const none = await explainRequestRoute({instance, secret}, {route: 'drafts'});
	t.is(none.code, ResultCode.NoPipeline);
	t.regex(none.text, /pipeline: none[\s\S]*no free memory/v);
	const unknown = await explainRequestRoute({instance, secret}, {route: 'none'});
	t.is(unknown.code, ResultCode.PathUnknown);
	const wrong = await explainRequestRoute({instance, secret: 'another'}, {route: 'drafts'});
	t.is(wrong.code, ResultCode.PeerUnauthorized);
});
