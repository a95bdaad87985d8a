import test from 'ava';
import {CrashAnalysis} from '../src/quarantine/crash-analysis.js';
import {type CrashReport} from '../src/quarantine/crash-report.js';
import {computeRequestFingerprint, isRequestFingerprint} from '../src/quarantine/request-fingerprint.js';
import {simulationAnalysisOptions} from './support/crash-simulation.js';

const deadly = 'request:deadly';
const other = 'request:other';
/** Time by which the times of other instances' reports may be off, in milliseconds. */
const timeError = 100;

/** Creates a report of a crash whose suspects were all sent at the same time. */
function createReport(server: string, crashedAt: number, suspects: readonly string[], sentAt = crashedAt - 80): CrashReport {
	return {incarnationId: server, crashedAt, suspects: suspects.map(part => ({part, sentAt}))};
}

/** Records the reports of other instances; returns the part that was founds and requests. */
function recordAll(analysis: CrashAnalysis, reports: readonly CrashReport[]): readonly string[] {
	return reports.flatMap(report => analysis.recordCrash(report, report.crashedAt + 50, timeError)).map(({part}) => part);
}

test('a fingerprint is the same for the same path, caller and body, and differs otherwise', t => {
	const identity = {
		host: 'site.example', method: 'POST', target: '/records/1', workspace: 'inspectors', body: new TextEncoder().encode('body'),
	};
	const fingerprint = computeRequestFingerprint(identity);
	t.true(isRequestFingerprint(fingerprint));
	t.false(isRequestFingerprint('5c1e07a2'));
	t.is(computeRequestFingerprint({...identity, host: 'SITE.example'}), fingerprint);
	const changes = [{host: 'other.example'}, {method: 'PUT'}, {target: '/records/2'}, {workspace: 'desks'}, {workspace: undefined}, {body: new TextEncoder().encode('other')}];
	t.is(new Set([fingerprint, ...changes.map(change => computeRequestFingerprint({...identity, ...change}))]).size, changes.length + 1);
});

// Guards against a request that is found only after further crashes, since its own retry followed so soon that the crashes seem simultaneous elsewhere.
test('a request that crashed two servers in quick succession and a third one later is found by all instances', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(analysis, [
		createReport('s1@0', 5128, [deadly], 5049),
		createReport('s2@0', 5209, [deadly], 5129),
		createReport('s3@0', 5371, [deadly], 5340),
	]), [deadly]);
});

// Guards against much asked requests that are refused because servers died together.
test('servers that die at one moment find no cause, however many they were running', t => {
	for (const requests of [[deadly], [deadly, other]]) {
		const analysis = new CrashAnalysis(simulationAnalysisOptions);
		t.deepEqual(recordAll(analysis, [0, 1, 2, 3, 4].map(index => createReport(`s${index}@0`, 10_000 + (index * 20), requests))), []);
	}
});

// Guards against sound requests that are refused after crashes of other causes.
test('a request that a server has run is not found to be a cause, here and at instances that are told', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	analysis.recordProgress([deadly], 0);
	t.deepEqual(analysis.findCleared([deadly, other], 0), [deadly]);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000, 4000].map(at => createReport(`s1@${at}`, at, [deadly]))), []);
	const told = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(told, [1000, 2000].map(at => createReport(`s1@${at}`, at, [deadly]))), []);
	told.recordCleared([deadly], 2500);
	t.false(told.isSuspectedRequest(deadly));
	t.deepEqual(recordAll(told, [3000].map(at => createReport(`s1@${at}`, at, [deadly]))), []);
});

// Guards against sound requests that are refused because they were under way on the servers that another one crashed.
test('a request that was under way at some of the crashes is not found to be a cause beside one that was at all of them', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000].map(at => createReport(`s1@${at}`, at, [deadly, other]))), [], 'both explain the crashes');
	t.deepEqual(recordAll(analysis, [createReport('s1@4000', 4000, [deadly])]), [deadly]);
	t.deepEqual(recordAll(analysis, [5000, 6000].map(at => createReport(`s1@${at}`, at, [deadly, other]))), []);
});

// Guards against a second deadly request that is not found after a first one.
test('two deadly requests are both found, also if they come at the same time', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000, 4000, 5000, 6000].map((at, index) => createReport(`s1@${at}`, at, [index % 2 === 0 ? deadly : other]))), [deadly, other]);
});

// Guards against a refusal of all requests with a prompt part, if only one of them crashes servers.
test('a prompt part is not found to be a cause while one request explains its crashes, and is when another request with it crashes servers too', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000, 4000].map(at => createReport(`s1@${at}`, at, ['part', deadly]))), [deadly]);
	t.deepEqual(recordAll(analysis, [createReport('s1@5000', 5000, ['part', other])]), ['part']);
});

test('a request whose quarantine ended is found again only by new crashes', t => {
	const analysis = new CrashAnalysis(simulationAnalysisOptions);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000].map(at => createReport(`s1@${at}`, at, [deadly]))), [deadly]);
	analysis.release(deadly);
	t.deepEqual(recordAll(analysis, [4000, 5000].map(at => createReport(`s1@${at}`, at, [deadly]))), []);
	t.deepEqual(recordAll(analysis, [createReport('s1@6000', 6000, [deadly])]), [deadly]);
});

// Guards against memory that grows with the requests, and against requests that push the prompt parts out of it.
test('the memory of sound requests is bounded and separate from that of prompt parts', t => {
	const analysis = new CrashAnalysis({...simulationAnalysisOptions, maxClearedParts: 2, maxClearedRequests: 10});
	analysis.recordProgress(['part'], 0);
	for (let index = 0; index < 20; index++) {
		analysis.recordProgress([`request:${index}`], 0);
	}

	t.deepEqual(analysis.findCleared(['part', 'request:9', 'request:10'], 0), ['part', 'request:10']);
});
