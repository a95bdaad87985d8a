// One replica of three spoils one byte in the head of one answer in 50. Clients on kept connections send requests that may run once.
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {
	Replica, runCase, send, sleep, startSystem,
} from '../lib/stand-ins.mjs';

/** The mean work of the sheet. */
const workMs = 86;
/** Share of the answers that the site's replicas spoil: 0.02. */
const answersPerSpoiltOne = 50;
const clientCount = 12;
const testMs = 15_000;
/** The rule allows three. */
const allowedLosses = 3;

/** Each replaces one byte of a sound head. */
const spoils = [head => head.replace('Content-Type', 'Content Type'), head => head.replace('HTTP/1.1 200', 'HTTP/1.1 000')];

async function play(context) {
	const {record, parts, isTrouble} = context;
	const spoilers = new Set();
	const ranAt = new Map();
	let spoiltCount = 0;
	let answerCount = 0;
	const work = async (message, response, _body, replica) => {
		const id = message.headers['siskinnotch-attempt-id'];
		ranAt.set(id, replica);
		await sleep(workMs);
		const {socket} = message;
		if (socket.destroyed) {
			return;
		}

		const body = Buffer.from(JSON.stringify({certificate: id, padding: '.'.repeat(700)}));
		const head = replica.createHead(message, {'Content-Length': body.length});
		const isSpoilt = isTrouble && spoilers.has(replica.id) && ++answerCount % answersPerSpoiltOne === 0;
		const sent = isSpoilt ? spoils[spoiltCount++ % spoils.length](head) : head;
		if (isSpoilt) {
			record.write('replica', replica.id, 'spoils one byte of the answer to', id, JSON.stringify(sent.slice(0, 60)));
		}

		socket.write(Buffer.concat([Buffer.from(sent), body]));
		response.on('error', () => undefined);
		socket.end();
	};

	const replicas = ['rec-a', 'rec-b', 'rec-c'].map(id => new Replica(id, {service: 'svc-records', run: work}));
	spoilers.add('rec-c');
	await startSystem(context, {replicas, routers: 2});
	// The machine is in touch: nothing happened to it for longer than touchMs.
	await sleep(3500);
	const [router] = parts.routers;
	let lost = 0;
	let answered = 0;
	let isOver = false;
	const runClient = async name => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let index = 0; !isOver; index++) {
			const id = `${name}-${index}`;
			const answer = await send(router, { // eslint-disable-line no-await-in-loop
				id, target: '/certs/issue', agent, deadline: 1500,
			});
			if (answer.status === 0 && router.exit === undefined) {
				await sleep(50); // eslint-disable-line no-await-in-loop
			}

			const replica = ranAt.get(id);
			if (answer.status > 0) {
				answered++;
			} else if (index > 0 && replica && !spoilers.has(replica.id)) {
				lost++;
				record.write('request', id, 'on a kept connection was passed on to the sound replica', replica.id, 'and got no answer:', answer.ending);
			}

			isOver ||= router.exit !== undefined;
		}

		agent.destroy();
	};

	const clients = Array.from({length: clientCount}, async (_, index) => runClient(`client-${index + 1}`));
	const timer = setTimeout(() => {
		isOver = true;
	}, testMs);
	await Promise.all(clients);
	clearTimeout(timer);
	record.write(`${answered} requests were answered, ${lost} that ran at sound replicas were lost, ${spoiltCount} answers were spoilt`);
	if (router.exit) {
		record.write('the process of', router.name, 'ended by itself:', JSON.stringify(router.exit), router.logLines.filter(line => !line.startsWith('{')).slice(0, 4).join(' | '));
	}

	return lost > allowedLosses ? 1 : 0;
}

await runCase(import.meta.dirname, play);
