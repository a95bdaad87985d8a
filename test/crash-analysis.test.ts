import test from 'ava';
import {CrashAnalysis} from '../src/quarantine/crash-analysis.js';
import {type CrashReport} from '../src/quarantine/crash-report.js';
import {LostAttempts} from '../src/quarantine/lost-attempts.js';
import {CrashSimulation, deadlyPart, simulationAnalysisOptions} from './support/crash-simulation.js';

const options = simulationAnalysisOptions;
const confirmationTimeout = 10_000;

/** Creates a report of a crash whose suspects were all sent at the same time. */
function createReport(server: string, crashedAt: number, parts: readonly string[], sentAt = crashedAt - 500): CrashReport {
	return {incarnationId: server, crashedAt, suspects: parts.map(part => ({part, sentAt}))};
}

/** Records reports in their order, each 100 ms after its crash; returns the part that was founds. */
function recordAll(analysis: CrashAnalysis, reports: readonly CrashReport[]): readonly string[] {
	return reports.flatMap(report => analysis.recordCrash(report, report.crashedAt + 100)).map(({part}) => part);
}

// Guards against a query of death that is not found because all requests share its first part.
test('a part that crashes each server is found at the third crash', t => {
	const analysis = new CrashAnalysis(options);
	analysis.recordProgress(['preamble', 'sound'], 0);
	t.deepEqual(recordAll(analysis, [createReport('s1@0', 1000, ['preamble', deadlyPart, 'x']), createReport('s2@0', 2000, ['preamble', deadlyPart, 'y'])]), []);
	t.deepEqual(analysis.recordCrash(createReport('s3@0', 3000, ['preamble', deadlyPart, 'z']), 3100), [{part: deadlyPart, crashes: 3}]);
});

// Guards against evidence that is lost because no instance sees more than one crash.
test('several instances that each see one crash all find the part at the third one', t => {
	const analyses = [0, 1, 2].map(() => new CrashAnalysis(options));
	for (const analysis of analyses) {
		analysis.recordProgress(['preamble'], 0);
	}

	for (const [own, report] of [1000, 2000, 3000].map(at => createReport(`s${at}@0`, at, ['preamble', deadlyPart])).entries()) {
		const causes = analyses.map((analysis, index) => {
			const sent = index === own ? report : analysis.filterSuspects(report, report.crashedAt)!;
			return analysis.recordCrash(sent, report.crashedAt + 200, index === own ? 0 : 150);
		});
		t.deepEqual(causes.map(list => list.map(({part}) => part)), analyses.map(() => own === 2 ? [deadlyPart] : []));
	}
});

// Guards against losses of a resumed request that are taken for simultaneous, since it is sent again at once.
test('a request that is resumed and crashes a second and a third server is found', t => {
	const lost = new LostAttempts(confirmationTimeout);
	const analysis = new CrashAnalysis(options);
	analysis.recordProgress(['preamble'], 0);
	const parts = ['preamble', deadlyPart];
	const found: string[] = [];
	for (const [index, sentAt] of [1000, 1300, 1600].entries()) {
		const incarnationId = `s${index}@0`;
		// Another request's connection is seen to break 2 ms after the one of the resumed request.
		t.is(lost.record({incarnationId, parts, sentAt}, sentAt + 300), undefined);
		t.is(lost.record({incarnationId, parts: ['preamble', `other-${index}`], sentAt: sentAt - 100}, sentAt + 302), undefined);
		found.push(...analysis.recordCrash(lost.confirmCrash(incarnationId, sentAt + 350)!, sentAt + 350).map(({part}) => part));
		t.deepEqual(found, index === 2 ? [deadlyPart] : []);
	}
});

// Guards against a loss of power that looks like many crashes of whatever was in flight, also with times that are off.
test('a rack of ten servers that dies at one moment finds no cause', t => {
	for (const timeError of [0, 100]) {
		const analysis = new CrashAnalysis(options);
		for (let index = 0; index < 400; index++) {
			const server = index % 10;
			// The reports of five instances are off by -100 to 100 ms, the requests were sent up to the last millisecond.
			const shift = timeError * ((index % 5) - 2) / 2;
			const parts = ['preamble', `part-${index % 7}`, `rare-${index}`];
			t.deepEqual(analysis.recordCrash(createReport(`s${server}@0`, 10_000 + shift, parts, 10_000 - (index % 300) - 1 + shift), 10_200 + index, timeError), []);
		}
	}
});

// Guards against crashes at one moment that seem to come one after another, since each is reported with another error of time.
test('three servers that die at one moment find no cause, although the times of their reports differ', t => {
	const analysis = new CrashAnalysis(options);
	for (const [index, shift] of [-100, 0, 100].entries()) {
		t.deepEqual(analysis.recordCrash(createReport(`s${index}@0`, 10_000 + shift, ['rare'], 9960 + shift), 10_200, 100), []);
	}

	t.deepEqual(recordAll(analysis, [createReport('s3@0', 20_000, ['rare'])]), []);
	t.deepEqual(recordAll(analysis, [createReport('s4@0', 30_000, ['rare'])]), ['rare']);
});

// Guards against blaming a much used part for crashes at one moment, which add nothing to its sequence.
test('a part that is a suspect in more crashes, but in no longer sequence, only ties', t => {
	t.deepEqual(recordAll(new CrashAnalysis(options), [
		...[10_000, 20_000, 30_000].map(at => createReport(`s1@${at}`, at, ['much used', deadlyPart])),
		createReport('s2@0', 30_000, ['much used']),
		createReport('s3@0', 30_000, ['much used']),
	]), []);
});

// Guards against blocking sound parts when the loss of power repeats.
test('three racks one after another, with progress in between, find no cause', t => {
	const analysis = new CrashAnalysis(options);
	const parts = Array.from({length: 40}, (_, index) => `part-${index}`);
	for (const at of [10_000, 20_000, 30_000]) {
		for (let server = 0; server < 10; server++) {
			t.deepEqual(analysis.recordCrash(createReport(`s${server}@${at}`, at, ['preamble', ...parts.slice(server, server + 20)]), at + server), []);
		}

		for (const part of parts) {
			t.deepEqual(analysis.recordProgress(['preamble', part], at + 5000), []);
		}
	}
});

// Guards against blocking parts whose requests died along with the deadly part.
test('sound parts that were on the crashed servers are not found to be a cause, since the deadly part explains the crashes', t => {
	const analysis = new CrashAnalysis(options);
	t.deepEqual(recordAll(analysis, [
		createReport('s1@0', 10_000, [deadlyPart, 'unlucky', 'very unlucky']),
		createReport('s2@0', 20_000, [deadlyPart, 'very unlucky']),
		createReport('s3@0', 30_000, [deadlyPart, 'unlucky']),
	]), [deadlyPart]);
	t.deepEqual(recordAll(analysis, [
		// The part that was found explains these, also if a report that names it comes last.
		createReport('s4@0', 40_000, [deadlyPart, 'unlucky', 'very unlucky']),
		createReport('s5@0', 50_000, ['unlucky', 'very unlucky']),
		createReport('s5@0', 50_050, [deadlyPart]),
		createReport('s1@0', 10_000, ['unlucky', 'very unlucky']),
		createReport('s6@0', 60_000, ['unlucky', 'very unlucky']),
		createReport('s7@0', 70_000, ['unlucky', 'very unlucky']),
	]), []);
});

// Guards against a wrong cause while reports that name the deadly part are still on their way.
test('a part is not found to be a cause while another one is a suspect in as many crashes, in whatever order', t => {
	const analysis = new CrashAnalysis(options);
	// The deadly part crashed all five servers, but the reports of 's1@0' and 's2@0' that name it come late.
	t.deepEqual(recordAll(analysis, [
		createReport('s4@0', 2400, [deadlyPart], 500),
		createReport('s5@0', 2500, [deadlyPart], 600),
		createReport('s1@0', 1000, ['unlucky']),
		createReport('s2@0', 2000, ['unlucky']),
		createReport('s3@0', 3000, ['unlucky', deadlyPart]),
	]), []);
	t.deepEqual(analysis.recordCrash(createReport('s1@0', 1000, [deadlyPart], 300), 3200), []);
	t.deepEqual(analysis.recordCrash(createReport('s2@0', 2000, [deadlyPart], 1200), 3200), []);
	t.deepEqual(analysis.recordCrash(createReport('s6@0', 4000, [deadlyPart]), 4100), [{part: deadlyPart, crashes: 4}]);
});

// Guards against a wrong cause right after a right one, while reports that name the part that was found are still on their way.
test('crashes since the first one of a part that was found are no evidence against others', t => {
	const analysis = new CrashAnalysis(options);
	t.deepEqual(recordAll(analysis, [
		createReport('s1@0', 1000, [deadlyPart]),
		createReport('s2@0', 1500, ['unlucky']),
		createReport('s3@0', 2000, [deadlyPart]),
		createReport('s4@0', 2200, ['unlucky'], 1600),
		createReport('s5@0', 3000, [deadlyPart]),
		createReport('s6@0', 3100, ['unlucky']),
	]), [deadlyPart]);
	t.deepEqual(analysis.recordCrash(createReport('s4@0', 2200, ['unlucky', 'other']), 3200), []);
	// Another deadly part is found by its crashes from then on.
	t.deepEqual(recordAll(analysis, [10_000, 20_000, 30_000].map(at => createReport(`s7@${at}`, at, ['second deadly']))), ['second deadly']);
});

// Guards against blindness while the crashes keep nearly everything from being served.
test('the part is found while nearly nothing is served', t => {
	const analysis = new CrashAnalysis(options);
	// No part ever made progress, and each crash takes ten other requests along; the parts vary from crash to crash.
	const reports = [0, 1, 2, 3].map(crash => createReport(`s${crash}@0`, 10_000 * (crash + 1), [
		...(crash === 3 ? [] : ['preamble']), deadlyPart, ...Array.from({length: 10}, (_, index) => `part-${(crash * 7) + index}`),
	]));
	// The preamble ties until a crash or progress tells them apart.
	t.deepEqual(recordAll(analysis, reports.slice(0, 3)), []);
	t.deepEqual(recordAll(analysis, reports.slice(3)), [deadlyPart]);
});

// States the limit of the rules: the crash of a server cannot be told from a coincidence if nothing else explains it.
test('a rare part whose only three requests died on three servers is found, unless it is served once', t => {
	const reports = [createReport('s1@0', 10_000, ['rare', 'a']), createReport('s2@0', 20_000, ['rare', 'b']), createReport('s3@0', 30_000, ['rare', 'c'])];
	t.deepEqual(recordAll(new CrashAnalysis(options), reports), ['rare']);
	const analysis = new CrashAnalysis(options);
	recordAll(analysis, reports.slice(0, 2));
	analysis.recordProgress(['rare'], 25_000);
	t.deepEqual(recordAll(analysis, reports.slice(2)), []);
});

// Guards against a guess between parts that explain the crashes equally well.
test('a tie finds no cause until a crash, progress or a report that clears a part breaks it', t => {
	const tie = [10_000, 20_000, 30_000].map(at => createReport(`s1@${at}`, at, [deadlyPart, 'twin']));
	const [byCrash, byProgress, byReport] = [0, 1, 2].map(() => new CrashAnalysis(options));
	for (const analysis of [byCrash, byProgress, byReport]) {
		t.deepEqual(recordAll(analysis, tie), []);
	}

	t.deepEqual(recordAll(byCrash, [createReport('s1@40', 40_000, [deadlyPart])]), [deadlyPart]);
	t.deepEqual(byProgress.recordProgress(['twin'], 31_000), [{part: deadlyPart, crashes: 3}]);
	t.deepEqual(byReport.recordCleared(['other'], 31_000), []);
	t.deepEqual(byReport.recordCleared(['twin'], 31_000), [{part: deadlyPart, crashes: 3}]);
});

// Guards against blaming a sound part because the deadly one was sent to several servers at once, which counts once.
test('a part that was sent to three servers at once still rivals one that was sent to them in turn', t => {
	const analysis = new CrashAnalysis(options);
	t.deepEqual(recordAll(analysis, [1, 2, 3].map(index => ({
		incarnationId: `s${index}@0`, crashedAt: 1000 * index, suspects: [{part: deadlyPart, sentAt: 500}, {part: 'unlucky', sentAt: (1000 * index) - 200}],
	}))), []);
	t.deepEqual(recordAll(analysis, [4, 5, 6].map(index => createReport(`s${index}@0`, 1000 * index, [deadlyPart]))), [deadlyPart]);
});

// Guards against suspecting a part that is known to be sound, here or at another instance, and against knowing it for ever.
test('a part that made progress before is not found to be a cause while it is remembered', t => {
	const analysis = new CrashAnalysis(options);
	analysis.recordProgress(['a', 'b'], 0);
	analysis.recordCleared(['c'], 0);
	const report = createReport('s1@0', 1000, ['a', 'b', 'c', 'd']);
	t.deepEqual(analysis.findCleared(['d', 'c', 'a'], 1000), ['c', 'a']);
	t.deepEqual(analysis.filterSuspects(report, 1000), createReport('s1@0', 1000, ['d']));
	t.is(analysis.filterSuspects(createReport('s1@0', 1000, ['a', 'c']), 1000), undefined);
	t.deepEqual(recordAll(analysis, [1000, 2000, 3000, 4000].map(at => createReport(`s1@${at}`, at, ['a']))), []);
	t.deepEqual(analysis.findCleared(['a'], options.clearedMemory), ['a']);
	t.deepEqual(analysis.findCleared(['a'], options.clearedMemory + 1), []);
});

// Guards against a crash that is counted twice, and against reports that are useless because they come late.
test('late and duplicate reports of one crash count once, in the order of the crashes', t => {
	const analysis = new CrashAnalysis(options);
	const [first, second, third] = [10_000, 20_000, 30_000].map(at => createReport(`s1@${at}`, at, [deadlyPart]));
	for (const report of [third, third, first, {...third, crashedAt: 30_080}, first]) {
		t.deepEqual(analysis.recordCrash(report, 31_000, 100), []);
	}

	t.deepEqual(analysis.recordCrash(second, 35_000, 100), [{part: deadlyPart, crashes: 3}]);
	t.deepEqual(analysis.recordCrash(second, 36_000, 100), []);
});

// Guards against servers that crash at the same moment and count twice because clocks differ or one loss is seen late.
test('a request that was sent after the crash of its server is no suspect', t => {
	const analysis = new CrashAnalysis(options);
	for (const server of ['s1@0', 's2@0', 's3@0']) {
		// One instance sees the crash at once, another one goes on sending requests and sees it 5 s later.
		t.deepEqual(analysis.recordCrash(createReport(server, 10_000, ['a']), 10_100), []);
		t.deepEqual(analysis.recordCrash(createReport(server, 15_000, ['b'], 12_000), 15_100, 100), []);
	}

	t.deepEqual(recordAll(analysis, [20_000, 30_000].map(at => createReport(`s4@${at}`, at, ['b']))), []);
});

// Guards against a cause found from crashes that have nothing to do with each other, over days.
test('crashes are forgotten after a while', t => {
	const analysis = new CrashAnalysis(options);
	const gap = (options.crashMemory / 2) + 1000;
	t.deepEqual(recordAll(analysis, Array.from({length: 20}, (_, index) => createReport(`s1@${index}`, gap * (index + 1), ['rare']))), []);
	t.deepEqual(analysis.recordCrash(createReport('s2@0', 1000, ['rare']), 20 * gap), []);
});

// Guards against a part that stays exempt from the analysis after its quarantine, or is found again by old crashes.
test('a released part is found again only by new crashes', t => {
	const analysis = new CrashAnalysis(options);
	const crash = (at: number) => createReport(`s1@${at}`, at, [deadlyPart]);
	t.deepEqual(recordAll(analysis, [10_000, 20_000, 30_000, 40_000].map(at => crash(at))), [deadlyPart]);
	analysis.release(deadlyPart);
	t.deepEqual(recordAll(analysis, [50_000, 60_000].map(at => crash(at))), []);
	t.deepEqual(recordAll(analysis, [crash(70_000)]), [deadlyPart]);
});

// Guards against sound parts that are blamed by an instance that learned of the cause from another one.
test('a part that another instance found explains its crashes', t => {
	const analysis = new CrashAnalysis(options);
	recordAll(analysis, [createReport('s1@0', 10_000, ['unlucky', deadlyPart]), createReport('s2@0', 20_000, ['unlucky', deadlyPart])]);
	analysis.accept(deadlyPart);
	t.deepEqual(recordAll(analysis, [30_000, 40_000].map(at => createReport(`s3@${at}`, at, ['unlucky']))), []);
});

// Guards against memory that grows with crashes, suspects, causes and parts.
test('the memory of an analysis is bounded', t => {
	const analysis = new CrashAnalysis({
		...options, maxClearedParts: 100, maxCrashes: 5, maxSuspects: 10, maxCauses: 1,
	});
	analysis.recordProgress(Array.from({length: 101}, (_, index) => `sound-${index}`), 0);
	t.deepEqual(analysis.findCleared(['sound-0', 'sound-1', 'sound-100'], 0), ['sound-1', 'sound-100']);
	// The oldest of six crashes is dropped, so that 'old' has only two left.
	t.deepEqual(recordAll(analysis, [
		createReport('s1@0', 1000, ['old']),
		createReport('s2@0', 2000, ['old']),
		...[3, 4, 5, 6].map(index => createReport(`s${index}@0`, 1000 * index, [`once-${index}`])),
		createReport('s7@0', 7000, ['old']),
	]), []);
	// Only the ten suspects that were sent last are held, so that 'early' is none.
	t.deepEqual(recordAll(analysis, [11, 12, 13].map(second => ({
		incarnationId: `s8@${second}`,
		crashedAt: 1000 * second,
		suspects: [{part: 'early', sentAt: (1000 * second) - 900}, ...Array.from({length: 10}, (_, index) => ({part: `late-${second}-${index}`, sentAt: (1000 * second) - 100}))],
	}))), []);
	analysis.accept('a');
	analysis.accept('b');
	t.deepEqual(recordAll(analysis, [21, 22, 23].map(second => createReport(`s9@${second}`, 1000 * second, ['a']))), ['a']);
});

// Guards against losses that are reported twice or without a crash.
test('lost attempts are reported once, with the latest request of each part, when the crash is confirmed', t => {
	const lost = new LostAttempts(confirmationTimeout);
	lost.record({incarnationId: 's1@0', parts: ['a', 'b'], sentAt: 800}, 1000);
	lost.record({incarnationId: 's1@0', parts: ['a'], sentAt: 700}, 1001);
	lost.record({incarnationId: 's2@0', parts: ['c'], sentAt: 700}, 1001);
	t.deepEqual(lost.confirmCrash('s1@0', 2000), {incarnationId: 's1@0', crashedAt: 1000, suspects: [{part: 'b', sentAt: 800}, {part: 'a', sentAt: 800}]});
	t.is(lost.confirmCrash('s1@0', 2000), undefined);
	t.is(lost.confirmCrash('s3@0', 2000), undefined);
});

// Guards against a loss that is seen after the crash is known and is never reported.
test('a loss after the confirmation is reported at once, unless its request was sent after the crash', t => {
	const lost = new LostAttempts(confirmationTimeout);
	lost.record({incarnationId: 's1@0', parts: ['a'], sentAt: 800}, 1000);
	lost.confirmCrash('s1@0', 2000);
	t.deepEqual(lost.record({incarnationId: 's1@0', parts: ['b'], sentAt: 900}, 2500), {incarnationId: 's1@0', crashedAt: 1000, suspects: [{part: 'b', sentAt: 900}]});
	t.is(lost.record({incarnationId: 's1@0', parts: ['c'], sentAt: 1500}, 2500), undefined);
	lost.confirmCrash('s2@0', 3000);
	t.deepEqual(lost.record({incarnationId: 's2@0', parts: ['d'], sentAt: 2900}, 3500), {incarnationId: 's2@0', crashedAt: 3000, suspects: [{part: 'd', sentAt: 2900}]});
	t.is(lost.record({incarnationId: 's2@0', parts: ['d'], sentAt: 2900}, 3501 + confirmationTimeout), undefined);
});

// Guards against an old loss of another cause that is taken for a part of a later crash.
test('a loss that is older than the timeout is not reported', t => {
	const lost = new LostAttempts(confirmationTimeout);
	lost.record({incarnationId: 's1@0', parts: ['old'], sentAt: 0}, 1000);
	lost.record({incarnationId: 's1@0', parts: ['new'], sentAt: 8000}, 9000);
	t.deepEqual(lost.confirmCrash('s1@0', 1001 + confirmationTimeout), {incarnationId: 's1@0', crashedAt: 9000, suspects: [{part: 'new', sentAt: 8000}]});
	lost.record({incarnationId: 's2@0', parts: ['old'], sentAt: 0}, 1000);
	t.is(lost.confirmCrash('s2@0', 1001 + confirmationTimeout), undefined);
});

// Guards against memory that grows with servers that lose connections and with the parts of one server.
test('the memory of lost attempts is bounded', t => {
	const lost = new LostAttempts(confirmationTimeout);
	for (let index = 0; index <= 100; index++) {
		lost.record({incarnationId: `s${index}@0`, parts: ['a'], sentAt: 0}, 1000);
	}

	t.truthy(lost.confirmCrash('s100@0', 1000));
	t.is(lost.confirmCrash('s0@0', 1000), undefined);
	for (let index = 0; index <= 1000; index++) {
		lost.record({incarnationId: 'full@0', parts: [`part-${index}`], sentAt: 0}, 1000);
	}

	const suspects = lost.confirmCrash('full@0', 1000)!.suspects.map(({part}) => part);
	t.is(suspects.length, 1000);
	t.false(suspects.includes('part-0'));
	t.true(suspects.includes('part-1000'));
});

const seeds = Array.from({length: 20}, (_, index) => index + 1);
const quietDuration = 60_000;
/** More than three, since crashes at the same time count once, and the parts of a resumed request tie until another request crashes. */
const maxKnownCrashes = 6;

// Guards against blocking sound parts while servers and racks crash for other reasons.
test('simulation: without a deadly part nothing is ever found', t => {
	for (const seed of seeds) {
		const simulation = new CrashSimulation({
			seed, deadlyRate: 0, serverCrashRate: 0.05, rackCrashRate: 0.01, deadlyFrom: 0, sharesCauses: false,
		});
		simulation.play(10 * quietDuration);
		t.true(simulation.otherCrashes > 0, `seed ${seed}`);
		t.deepEqual(simulation.causes, [], `seed ${seed}`);
	}
});

// Guards against a query of death that is not found, or is found by blocking other parts, or only after many crashes.
test('simulation: each instance by itself finds exactly the deadly part', t => {
	for (const seed of seeds) {
		const simulation = new CrashSimulation({
			seed, deadlyRate: 0.2, serverCrashRate: 0.05, rackCrashRate: 0, deadlyFrom: quietDuration, sharesCauses: false,
		});
		simulation.play(4 * quietDuration);
		const {causes} = simulation;
		t.deepEqual(new Set(causes.map(({part}) => part)), new Set([deadlyPart]), `seed ${seed}`);
		t.true(causes[0].knownCrashes <= maxKnownCrashes, `seed ${seed}: ${causes[0].knownCrashes} crashes`);
	}
});

// Guards against wrong causes while no part is known to be sound and the crashes are frequent.
test('simulation: exactly the deadly part is found if it comes first of all and often', t => {
	for (const seed of seeds) {
		const simulation = new CrashSimulation({
			seed, deadlyRate: 1, serverCrashRate: 0.05, rackCrashRate: 0.01, deadlyFrom: 0, sharesCauses: true,
		});
		simulation.play(quietDuration);
		t.deepEqual(new Set(simulation.causes.map(({part}) => part)), new Set([deadlyPart]), `seed ${seed}`);
	}
});
