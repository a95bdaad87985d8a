import test from 'ava';
import {gossipMessageSchema, type GossipMessage} from '../src/peers/gossip-message.js';
import {TableName} from '../src/replication/table-name.js';
import {TableSet} from '../src/replication/table-set.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ControlFleet} from './support/control-fleet.js';
import {createTableExchange, RecordingLog} from './support/sample-fleet.js';

const never = Number.NEGATIVE_INFINITY;
const runs = 200;
const objects = Array.from({length: 200}, (_, index) => `{"name":"route-${index}","timeout":20000}`);
const keys = ['config', 'other'];
/** Monotonic time in milliseconds of all messages, unless another one is given. */
const askedAt = 1000;

type Write = {readonly transaction: number; readonly key: string; readonly text?: string};

/** All histories of a store that returns from older copies of itself. */
class Store {
	era = 0;
	private readonly histories: Write[][] = [[]];

	get transaction(): number {
		return this.histories[this.era].length;
	}

	write(key: string, text?: string): void {
		this.histories[this.era].push({transaction: this.transaction + 1, key, ...(text !== undefined && {text})});
	}

	restore(transaction: number): void {
		this.histories.push(this.histories[this.era].slice(0, transaction));
		this.era++;
	}

	textAt(era: number, transaction: number, key: string): string | undefined {
		return this.histories[era].slice(0, transaction).findLast(write => write.key === key)?.text;
	}

	rows(): Write[] {
		return keys.flatMap(key => this.histories[this.era].findLast(write => write.key === key) ?? []);
	}
}

class Instance {
	readonly tables = new TableSet(new RecordingLog());
	readonly exchange = createTableExchange(this.tables);

	constructor(readonly id: string, readonly isOldBuild: boolean) {}

	get table() {
		return this.tables.get(TableName.Catalog);
	}

	ask(now = askedAt): GossipMessage {
		return {
			from: {id: this.id, availabilityZone: 'zone-a', peers: 'a:1'}, ...this.exchange.describe(now), updates: {}, wantsRows: true,
			loads: [], suspicions: [], ranges: [], ...(!this.isOldBuild && {packing: this.exchange.packing}),
		};
	}

	answer({packing, ...message}: GossipMessage, now = askedAt): GossipMessage {
		const updates = this.exchange.getMissingUpdates(this.isOldBuild ? message : {...message, packing}, now);
		return {...this.ask(now), ...updates};
	}

	/** Returns whether the sender has rows that this instance lacks. */
	receive(message: GossipMessage, now = askedAt): boolean {
		const {packedRows, ...rest} = gossipMessageSchema.parse(structuredClone(message));
		return this.exchange.receive(this.isOldBuild ? rest : {...rest, ...(packedRows && {packedRows})}, now).isBehind;
	}

	read(store: Store, isSnapshot: boolean): void {
		const {position} = this.table;
		const since = isSnapshot || position?.era !== store.era ? undefined : position;
		const rows = store.rows().filter(row => since ? row.transaction > since.transaction : row.text !== undefined);
		this.tables.apply(TableName.Catalog, {...(since && {since}), position: {era: store.era, transaction: store.transaction}, rows}, {from: 'store', confirmedAt: askedAt - 100, outageAt: never});
	}
}

/** Returns how often a copy differed from the store at its position, and how many copies differed at the end. */
function simulate(isDeleting: boolean): {readonly unequal: number; readonly notConverged: number} {
	let unequal = 0;
	let notConverged = 0;
	for (let run = 1; run <= runs; run++) {
		const random = new RandomSource(run);
		const store = new Store();
		const instances = Array.from({length: 5}, (_, index) => new Instance(`i${index}`, index === 4 || (index === 3 && run % 2 === 0)));
		const flying: Array<() => void> = [];
		const countUnequal = () => instances.filter(({table, table: {position}}) =>
			position && keys.some(key => table.get(key)?.text !== store.textAt(position.era, position.transaction, key))).length;

		for (let step = 0; step < 120; step++) {
			const instance = instances[random.nextInteger(5)];
			const other = instances[random.nextInteger(5)];
			const action = random.nextInteger(12);
			if (action < 3) {
				const kind = random.nextInteger(8);
				const text = kind === 1 ? `small ${step}` : `[{"v":${(run * 1000) + step}},${objects.slice(random.nextInteger(5)).join(',')}]`;
				store.write(keys[random.nextInteger(2)], kind === 0 && isDeleting ? undefined : text);
			} else if (action < 5) {
				instance.read(store, random.nextInteger(3) === 0);
			} else if (action === 5 && random.nextInteger(8) === 0 && store.transaction > 2) {
				store.restore(store.transaction - random.nextInteger(3));
			} else if (action < 9 && instance !== other) {
				const request = instance.ask();
				flying.push(() => {
					other.receive({...request, wantsRows: false});
					const answer = other.answer(request);
					flying.push(() => {
						instance.receive(answer);
					});
				});
			} else if (flying.length > 0) {
				flying.splice(random.nextInteger(flying.length), 1)[0]();
			}

			unequal += countUnequal();
		}

		store.write('config', `[{"last":${run}},${objects.join(',')}]`);
		instances[0].read(store, false);
		for (let round = 0; round < 3; round++) {
			for (const instance of instances.slice(1)) {
				instance.receive(instances[0].answer(instance.ask()));
			}
		}

		unequal += countUnequal();
		notConverged += instances.filter(({table, exchange}) => keys.some(key => table.get(key)?.text !== store.textAt(store.era, store.transaction, key)) || exchange.isLackingRows()).length;
	}

	return {unequal, notConverged};
}

test('copies of old and new builds only ever hold what the store had at their position, and converge', t => {
	t.deepEqual(simulate(false), {unequal: 0, notConverged: 0});
});

// Guards against rows, such as those of servers that are gone, which stay in a copy for good.
test('the same with rows that are deleted', t => {
	t.deepEqual(simulate(true), {unequal: 0, notConverged: 0});
});

// The smallest case: a newcomer whose first copy is from after a deletion, and one that has not heard of the deletion yet.
test('an instance that has not heard of a deletion learns of it also where a newcomer is the first to report a later position', t => {
	const store = new Store();
	const [instance, newcomer, reader] = ['instance', 'newcomer', 'reader'].map(id => new Instance(id, false));
	store.write('config', 'kept');
	store.write('other', 'to be deleted');
	instance.read(store, false);
	reader.read(store, false);
	store.write('other');
	reader.read(store, false);
	newcomer.receive(reader.answer(newcomer.ask()));
	instance.receive({...newcomer.ask(), wantsRows: false});
	instance.receive(newcomer.answer(instance.ask()));
	instance.receive(reader.answer(instance.ask()));
	instance.read(store, false);
	t.is(instance.table.get('other'), undefined);
});

/** Creates an instance whose copy is from before a transaction of another table, and a newcomer that read the whole table after it. */
function createLaggard(isDeleted: boolean): {readonly instance: Instance; readonly newcomer: Instance} {
	const store = new Store();
	const [instance, newcomer] = ['instance', 'newcomer'].map(id => new Instance(id, false));
	store.write('config', objects.join(','));
	store.write('other', 'text');
	instance.read(store, false);
	store.write(isDeleted ? 'other' : 'another table');
	newcomer.read(store, true);
	return {instance, newcomer};
}

// Guards against links that carry whole tables to all instances whenever one starts.
test('an instance that has all rows does not fetch the table from a newcomer, and counts as up to date', t => {
	const {instance, newcomer} = createLaggard(false);
	t.false(instance.receive(newcomer.ask()));
	t.false(instance.exchange.isLackingRows());
	t.deepEqual(newcomer.answer(instance.ask()).updates, {});
});

// Guards against a deleted row that stays for as long as the store is down.
test('an instance learns of a deletion from a newcomer where the store does not confirm its copy for long', t => {
	const {instance, newcomer} = createLaggard(true);
	t.false(instance.receive(newcomer.ask()));
	t.is(instance.table.get('other')?.text, 'text');
	t.true(instance.receive(newcomer.ask(askedAt + 16_000), askedAt + 16_000));
	instance.receive(newcomer.answer(instance.ask(), askedAt + 16_000), askedAt + 16_000);
	t.is(instance.table.get('other'), undefined);
	t.false(instance.exchange.isLackingRows());
});

// Guards against instances that take a newcomer's table as a change because they cannot tell what a first copy knows.
test('a copy that came whole from another instance knows the newest change as that one does', t => {
	const store = new Store();
	const [reader, newcomer] = ['reader', 'newcomer'].map(id => new Instance(id, false));
	store.write('config', 'kept');
	reader.read(store, false);
	store.write('other', 'text');
	reader.read(store, false);
	store.write('other');
	reader.read(store, false);
	newcomer.receive(reader.answer(newcomer.ask()));
	t.deepEqual(newcomer.table.changeBounds, {lastChange: 3, knownChange: 3});
});

// Guards against requests to a server that is gone, which an instance sends for as long as it runs.
test('an instance that was cut off while a server was removed learns of that from instances that all started later', async t => {
	const fleet = new ControlFleet(9, 3, 9);
	const [earlier, later] = [fleet.instances.slice(0, 5), fleet.instances.slice(5)];
	const cutOff = earlier[4];
	fleet.start(earlier);
	await fleet.elapse(12_000);
	for (const instance of earlier) {
		instance.isStopped = true;
		fleet.store.refused.add(instance.id);
	}

	// The last calls to the store end.
	await fleet.elapse(3000);
	const {id} = cutOff.directory.all()[0];
	fleet.store.put('servers', id, undefined);
	fleet.store.put('catalog', 'config', '2');
	fleet.start(later);
	await fleet.elapse(6000);
	t.true(later.every(({directory}) => directory.all().length === 8));
	cutOff.isStopped = false;
	t.not(cutOff.control.tables.get(TableName.Servers).get(id), undefined);
	const elapsed = await fleet.measureUntil(() => cutOff.control.tables.get(TableName.Servers).get(id) === undefined, 30_000);
	t.log(`${elapsed} ms`);
	t.true(elapsed <= 16_000, `${elapsed} ms`);
});

// Guards against links that carry the whole list of servers to all instances whenever one starts and reads the store itself.
test('instances that have all servers do not fetch them from one that read the store after its start', async t => {
	const fleet = new ControlFleet(72, 3, 900);
	const [late] = fleet.instances.slice(-1);
	fleet.start(fleet.instances.slice(0, -1));
	await fleet.elapse(12_000);
	const {control: {tables}} = late;
	// A transaction that changes none of the tables moves the store's position beyond those of all copies.
	fleet.store.put('leases', 'placement', late.id);
	for (const name of [TableName.Servers, TableName.Instances, TableName.Catalog]) {
		tables.apply(name, fleet.store.readSnapshot(name), {from: 'store', confirmedAt: fleet.timers.now(), outageAt: never});
	}

	fleet.resetCounters();
	fleet.start([late]);
	await fleet.elapse(4000);
	const listBytes = JSON.stringify(fleet.store.readSnapshot(TableName.Servers)).length;
	t.log(`${late.bytesSent} bytes, where the list has ${listBytes}`);
	t.true(late.bytesSent < listBytes);
});
