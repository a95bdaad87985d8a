import {fileURLToPath} from 'node:url';
import {Caller} from '../lib-2/caller.js';
import {now, sleep, waitUntil} from '../lib-2/clock.js';
import {runCase} from '../lib-2/main.js';
import {PlainReplica} from '../lib-2/plain-replica.js';
import {Fleet} from '../lib-2/router.js';
import {
	createPlainConfiguration, heartbeatIntervalMs, host, key, touchMs,
} from '../lib-2/site.js';
import {Store} from '../lib-2/store.js';

/** Retries that may reach replicas later than `touchMs` after the third crash. */
const maxRetries = 3;
const zones = ['zone-erie', 'zone-huron', 'zone-michigan'];
const replicaDownMs = 2500;
const crashDelayMs = 20;
/** Crashes after which all machines are stopped and started in turn. */
const crashesBeforeRoll = new Set([2, 4, 6]);
const attempts = 9;
const gapMs = 1000;
const poison = {path: '/issue/7041', body: 'book recheck of frame 7041', name: 'crashing'};

async function startReplicas(store, record, crashes) {
	const replicas = zones.map((zone, index) => new PlainReplica({name: `i-${'abc'[index]}1`, service: 'records-app', zone}));
	for (const replica of replicas) {
		await replica.listen(); // eslint-disable-line no-await-in-loop
		store.put('servers', replica.id, replica.createEntry());
		replica.onRun = async arrival => {
			record.add(`replica ${replica.id} runs ${arrival.id} ${arrival.path}`);
			if (arrival.path !== poison.path) {
				return;
			}

			await sleep(crashDelayMs);
			const {id} = replica;
			await replica.crash();
			crashes.push({at: now(), id, arrival});
			record.say(`replica ${id} crashed on ${arrival.id}, crash ${crashes.length}`);
			setTimeout(() => {
				store.remove('servers', id);
			}, 3 * heartbeatIntervalMs);
			await sleep(replicaDownMs);
			await replica.restart();
			store.put('servers', replica.id, replica.createEntry());
			record.add(`replica ${replica.id} has started`);
		};
	}

	return replicas;
}

/** Stops and starts all machines, one at a time. */
async function roll(fleet, record) {
	for (const router of fleet.routers) {
		record.say(`SIGTERM to ${router.name}`);
		router.signal('SIGTERM');
		await router.waitForExit(); // eslint-disable-line no-await-in-loop
		router.start();
		await router.waitUntilReady(); // eslint-disable-line no-await-in-loop
		record.say(`${router.name} is ready again`);
		await sleep(gapMs); // eslint-disable-line no-await-in-loop
	}
}

async function play(record, isDisrupted) {
	const store = new Store();
	await store.listen();
	store.put('op', 'config', createPlainConfiguration());
	const crashes = [];
	const replicas = await startReplicas(store, record, crashes);
	const fleet = await Fleet.create(zones, store);
	const caller = new Caller({host, key, record});
	const traffic = {isOver: false};
	const sound = [];
	const sendSound = async () => {
		for (let number = 0; !traffic.isOver; number++) {
			const router = fleet.routers[number % fleet.routers.length];
			if (router.isRunning) {
				sound.push(caller.send(router, {path: `/issue/${number}`, body: `certificate ${number}`}));
			}

			await sleep(100); // eslint-disable-line no-await-in-loop
		}
	};

	try {
		await fleet.start();
		await sleep(touchMs + 500);
		const sending = sendSound();
		for (let attempt = 0; attempt < attempts; attempt++) {
			if (isDisrupted && crashesBeforeRoll.has(crashes.length)) {
				await roll(fleet, record); // eslint-disable-line no-await-in-loop
				await sleep(touchMs + 500); // eslint-disable-line no-await-in-loop
			}

			const router = fleet.routers[attempt % fleet.routers.length];
			const result = await caller.send(router, poison); // eslint-disable-line no-await-in-loop
			record.say(`the crashing request was sent through ${router.name}: ${result.status} ${result.text}`);
			await sleep(touchMs + 800); // eslint-disable-line no-await-in-loop
			await waitUntil(() => replicas.every(({server}) => server.listening), 'the replicas are back'); // eslint-disable-line no-await-in-loop
		}

		traffic.isOver = true;
		await sending;
	} finally {
		traffic.isOver = true;
		await Promise.all(sound);
		caller.close();
		await fleet.stop();
		await Promise.all(replicas.map(async replica => replica.close()));
		store.close();
	}

	const results = await Promise.all(sound);
	const lost = results.filter(({status}) => status !== 200);
	record.say(`${results.length} sound requests, ${lost.length} without success`);
	const third = crashes[2];
	const retries = replicas.flatMap(({arrivals}) => arrivals).filter(({path, at}) => path === poison.path && third && at > third.at + touchMs);
	record.say(`${crashes.length} crashes; ${retries.length} requests reached replicas later than ${touchMs} ms after the third, ${maxRetries} are allowed`);
	return retries.length > maxRetries;
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
