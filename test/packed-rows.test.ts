import test from 'ava';
import fc from 'fast-check';
import {type GossipMessage} from '../src/peers/gossip-message.js';
import {packRow, unpackRow} from '../src/peers/packed-row.js';
import {RowPacking} from '../src/peers/row-packing.js';
import {TableName} from '../src/replication/table-name.js';
import {TableSet} from '../src/replication/table-set.js';
import {applyTextDelta, createTextDelta} from '../src/replication/text-delta.js';
import {createTableExchange, RecordingLog} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const objects = Array.from({length: 400}, (_, index) => `{"name":"route-${index}","timeout":20000}`);

/** Returns the text of a configuration whose first object differs between versions. */
function createText(version: number): string {
	return `{"routes":[{"version":${version}},${objects.join(',')}]}`;
}

/** The copies of one instance, which exchanges rows of one table with others. */
class Copies {
	readonly tables = new TableSet(new RecordingLog());
	readonly exchange = createTableExchange(this.tables);

	constructor(private readonly id: string) {}

	/** Applies a version of the configuration as the store sent it. */
	readFromStore(transaction: number, text: string): void {
		const position = {era: 0, transaction};
		this.tables.apply(TableName.Catalog, {position, rows: [{key: 'config', transaction, text}]}, {from: 'store', confirmedAt: transaction, outageAt: Number.NEGATIVE_INFINITY});
	}

	get text(): string | undefined {
		return this.tables.get(TableName.Catalog).get('config')?.text;
	}

	/** Creates a message that asks for rows. */
	ask(packing?: RowPacking): GossipMessage {
		return {
			from: {id: this.id, availabilityZone: 'zone-a', peers: '10.0.0.1:7000'},
			...this.exchange.describe(1000),
			updates: {},
			reportAges: '',
			wantsRows: true,
			loads: [],
			suspicions: [],
			ranges: [],
			...(packing && {packing}),
		};
	}

	answer(message: GossipMessage): GossipMessage {
		return {...this.ask(), ...this.exchange.getMissingUpdates(message, 1000)};
	}
}

test('a delta makes the text from its base, whatever both are', t => {
	const piece = fc.constantFrom(...objects.slice(0, 6), ',', '}', '{', 'abc', '\u{1F600}', '');
	const text = fc.array(piece, {maxLength: 30}).map(pieces => pieces.join(''));
	t.notThrows(() => {
		fc.assert(fc.property(text, text, (base, changed) => applyTextDelta(base, createTextDelta(base, changed)) === changed), {seed: seed(), numRuns: 500});
	});
});

test('a row is unpacked to the same text, with and without an earlier version, and is much smaller', t => {
	const base = {key: 'config', transaction: 4, text: createText(1)};
	const row = {key: 'config', transaction: 7, text: createText(2)};
	t.deepEqual(unpackRow(packRow(row, undefined), undefined), row);
	t.deepEqual(unpackRow(packRow(row, base), base), row);
	t.true(JSON.stringify(packRow(row, undefined)).length < row.text.length / 4);
	t.true(JSON.stringify(packRow(row, base)).length < 300);
});

// Guards against a configuration that no instance wrote, made from a delta for another version.
test('a row that was packed for another version than the instance has, or was damaged, is rejected', t => {
	const base = {key: 'config', transaction: 4, text: createText(1)};
	const packed = packRow({key: 'config', transaction: 7, text: createText(2)}, base);
	t.throws(() => unpackRow(packed, undefined));
	t.throws(() => unpackRow(packed, {...base, transaction: 5}));
	t.throws(() => unpackRow(packed, {...base, text: base.text.replace('route-7', 'route-8')}));
	t.throws(() => unpackRow({...packed, data: 'AAAA'}, base));
});

test('an instance that lacks some versions gets the newest one as a delta of the version that it has', t => {
	const sender = new Copies('entry-a');
	const recipient = new Copies('entry-b');
	for (const transaction of [3, 5, 8]) {
		sender.readFromStore(transaction, createText(transaction));
	}

	recipient.readFromStore(5, createText(5));
	const answer = sender.answer(recipient.ask(RowPacking.Delta));
	t.is(answer.packedRows?.[TableName.Catalog][0].base, 5);
	t.is(recipient.exchange.receive(answer, 1000).unpackingError, undefined);
	t.is(recipient.text, createText(8));
});

// Guards against an instance that never gets a configuration again, because the sender takes it to have another version than it has.
test('an instance that cannot apply a delta keeps its version, and then asks for the whole row', t => {
	const sender = new Copies('entry-a');
	const recipient = new Copies('entry-b');
	for (const transaction of [3, 8]) {
		sender.readFromStore(transaction, createText(transaction));
	}

	// The sender never had this version, and so takes it for the one before.
	recipient.readFromStore(5, createText(5));
	const {isBehind, unpackingError} = recipient.exchange.receive(sender.answer(recipient.ask(recipient.exchange.packing)), 1000);
	t.true(isBehind);
	t.not(unpackingError, undefined);
	t.is(recipient.text, createText(5));
	recipient.exchange.receive(sender.answer(recipient.ask(recipient.exchange.packing)), 1000);
	t.is(recipient.text, createText(8));
	t.is(recipient.exchange.packing, RowPacking.Delta);
});

// Guards against whole rows on links that are busy anyway, because an answer that something overtook counts as a delta that cannot be applied.
test('a delta whose version arrived meanwhile is ignored, and deltas go on', t => {
	const sender = new Copies('entry-a');
	const recipient = new Copies('entry-b');
	recipient.readFromStore(5, createText(5));
	sender.readFromStore(5, createText(5));
	sender.readFromStore(8, createText(8));
	const answer = sender.answer(recipient.ask(RowPacking.Delta));
	recipient.readFromStore(8, createText(8));
	t.is(recipient.exchange.receive(answer, 1000).unpackingError, undefined);
	t.is(recipient.exchange.packing, RowPacking.Delta);
});

// Guards against a newest version that is thrown away because an older one arrived since it was asked for.
test('a delta for the version that an instance had when it asked is applied although a version between arrived', t => {
	const sender = new Copies('entry-a');
	const recipient = new Copies('entry-b');
	recipient.readFromStore(5, createText(5));
	for (const transaction of [5, 6, 8]) {
		sender.readFromStore(transaction, createText(transaction));
	}

	const answer = sender.answer(recipient.ask(RowPacking.Delta));
	recipient.readFromStore(6, createText(6));
	recipient.exchange.receive(answer, 1000);
	t.is(recipient.text, createText(8));
});

// Guards against an instance of an earlier build that takes a packed row for a deleted one.
test('an instance of a build that does not know packed rows gets the whole text', t => {
	const sender = new Copies('entry-a');
	sender.readFromStore(8, createText(8));
	const {updates, packedRows} = sender.answer(new Copies('entry-b').ask());
	t.is(updates[TableName.Catalog]?.rows[0].text, createText(8));
	t.is(packedRows, undefined);
});
