import {readFileSync} from 'node:fs';
import test from 'ava';
import fc from 'fast-check';
import {applyDifference, computeDifference} from '../src/configuration/sheet-difference.js';
import {Priority} from '../src/configuration/priority.js';
import {RowKind} from '../src/configuration/row-kind.js';
import {sheetColumns} from '../src/configuration/sheet-columns.js';
import {parseSheet} from '../src/configuration/sheet-parser.js';
import {type SheetRow} from '../src/configuration/sheet-row.js';
import {Sheet} from '../src/configuration/sheet.js';
import {seed} from './support/seed.js';

const lakeshore = readFileSync('samples/lakeshore.csv', 'utf8');
const header = sheetColumns.join(',');
const digest = 'a'.repeat(64);

function formatProblems(text: string): readonly string[] {
	return parseSheet(text).problems.map(({line, column, message}) => `${line} ${column}: ${message}`);
}

test('both sample sheets are valid', t => {
	for (const name of ['lakeshore', 'vellani']) {
		const {sheet, problems} = parseSheet(readFileSync(`samples/${name}.csv`, 'utf8'));
		t.deepEqual(problems, []);
		t.is(sheet?.getWorkspaces().length, 10);
	}
});

test('a byte order mark and CRLF line ends do not change the result', t => {
	const plain = parseSheet(lakeshore).sheet;
	const exported = parseSheet(`\uFEFF${lakeshore.replaceAll('\n', '\r\n')}`).sheet;
	t.truthy(plain);
	t.is(exported?.digest, plain?.digest);
});

test('all problems are reported together, with line and column', t => {
	const problems = formatProblems([
		header,
		`workspace,north,,high,-5,100,10,${digest},,,,,`,
		`workspace,south,,urgent,70,100,10,${'b'.repeat(64)},,,,,`,
		`workspace,south,,low,70,100,x,${'c'.repeat(64)},,,,,`,
		'operation,book,records,,,,,,,,,perhaps,',
		'grant,west,records,,,,,,,,,,',
	].join('\n'));
	for (const expected of [
		/^2 share_percent: "-5" is not a percentage/v,
		/^3 priority: "urgent" is none of/v,
		/^4 concurrent_streams: "x" is not a whole number/v,
		/^4 name: repeats line 3/v,
		/^5 idempotent: "perhaps" is neither yes nor no/v,
		/^5 service: no row defines the service "records"/v,
		/^6 name: no row defines the workspace "west"/v,
		/share_percent: the shares add up to 140 percent/v,
	]) {
		t.true(problems.some(problem => expected.test(problem)), `${String(expected)} in ${problems.join('\n')}`);
	}
});

test('unknown, duplicate and missing columns are reported', t => {
	const problems = formatProblems(`${header.replace('layers', 'colour')},kind\n`);
	t.true(problems.some(problem => problem.startsWith('1 colour: unknown column')));
	t.true(problems.some(problem => problem.startsWith('1 kind: duplicate column')));
	t.true(problems.some(problem => problem.startsWith('1 layers: the column is missing')));
});

test('two workspaces with the same key are a problem', t => {
	const problems = formatProblems(`${header}\nworkspace,a,,low,1,1,1,${digest},,,,,\nworkspace,b,,low,1,1,1,${digest},,,,,\n`);
	t.deepEqual(problems, ['3 key_digest: repeats line 2']);
});

test('an empty file and a file that is not CSV are problems', t => {
	t.deepEqual(formatProblems(''), ['1 : the sheet is empty']);
	t.regex(formatProblems(`${header}\n"open`)[0], /not CSV/v);
});

test('the parser throws for no input, and returns either a sheet or problems', t => {
	const cell = fc.oneof(fc.constantFrom('workspace', 'service', 'operation', 'grant', '', 'yes', 'no', 'high', '10', '-1', digest), fc.string({maxLength: 6}));
	const rows = fc.array(fc.array(cell, {minLength: 1, maxLength: 14}), {maxLength: 6});
	const property = fc.property(rows, cells => {
		const {sheet, problems} = parseSheet([header, ...cells.map(row => row.join(','))].join('\n'));
		return (sheet === undefined) === (problems.length > 0);
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed(), numRuns: 300});
	});
});

const rowArbitrary: fc.Arbitrary<SheetRow> = fc.record({
	kind: fc.constant(RowKind.Workspace as const),
	name: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
	priority: fc.constantFrom(...Object.values(Priority)),
	share: fc.integer({min: 1, max: 20}),
	tokensPerMinute: fc.integer({min: 1, max: 1000}),
	concurrentStreams: fc.integer({min: 1, max: 10}),
	keyDigest: fc.constantFrom(digest, 'b'.repeat(64)),
});

test('applying a difference to the older sheet gives the newer one', t => {
	const sheet = fc.array(rowArbitrary, {maxLength: 6}).map(rows => new Sheet(rows));
	const property = fc.property(sheet, sheet, (older, newer) => applyDifference(older, computeDifference(older, newer)).digest === newer.digest);
	t.notThrows(() => {
		fc.assert(property, {seed: seed()});
	});
});
