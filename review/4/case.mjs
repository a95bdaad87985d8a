// One replica of three breaks off one answer in 50, which has neither a length nor chunks: it sends the first half and resets the connection. The client must not take that for a complete answer.
import {Agent} from 'node:http';
import {
	now, Replica, runCase, send, sleep, startSystem,
} from '../lib/stand-ins.mjs';

/** The mean work of the sheet. */
const workMs = 86;
/** Share of the answers that the site's replicas break off or spoil: 0.02. */
const answersPerBrokenOne = 50;
const clientCount = 12;
const testMs = 30_000;

function createBody(id) {
	return JSON.stringify({certificate: id, padding: '.'.repeat(750)});
}

async function play(context) {
	const {record, parts, isTrouble} = context;
	let answerCount = 0;
	const brokenOff = new Map();
	const work = async (message, response, _body, replica) => {
		const id = message.headers['siskinnotch-attempt-id'];
		const {socket} = message;
		await sleep(workMs);
		if (socket.destroyed) {
			return;
		}

		const body = createBody(id);
		const isWithoutLength = replica.id === 'rec-c' && ++answerCount % answersPerBrokenOne === 0;
		if (!isWithoutLength) {
			response.writeHead(200, replica.headers(message, {'content-type': 'application/json', 'content-length': String(body.length)}));
			response.end(body);
			return;
		}

		const head = replica.createHead(message, {Connection: 'close'});
		if (!isTrouble) {
			socket.end(head + body);
			return;
		}

		const half = body.slice(0, body.length / 2);
		brokenOff.set(id, half.length);
		socket.write(head + half);
		socket.resetAndDestroy();
		record.write('replica', replica.id, 'sent', half.length, 'of', body.length, 'bytes of its answer to', id, 'and reset the connection');
	};

	const replicas = ['rec-a', 'rec-b', 'rec-c'].map(id => new Replica(id, {service: 'svc-records', run: work}));
	await startSystem(context, {replicas, routers: 2});
	await sleep(3500);
	const [router] = parts.routers;
	const endsAt = now() + testMs;
	let whole = 0;
	let wrong = 0;
	const runClient = async name => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let index = 0; now() < endsAt; index++) {
			const id = `${name}-${index}`;
			const answer = await send(router, { // eslint-disable-line no-await-in-loop
				id, target: '/certs/issue', agent, deadline: 1500,
			});
			const isSuccess = answer.status === 200 && answer.isComplete;
			const isWrong = isSuccess && answer.text !== createBody(id);
			whole += isSuccess && !isWrong ? 1 : 0;
			wrong += isWrong ? 1 : 0;
			if (brokenOff.has(id)) {
				record.write(`client got for ${id}: status ${answer.status}, ${answer.ending}, ${answer.bytes} bytes${isWrong ? ': half of the answer as a complete success' : ''}`);
			}
		}

		agent.destroy();
	};

	await Promise.all(Array.from({length: clientCount}, async (_, index) => runClient(`client-${index + 1}`)));
	record.write(`${whole} answers were whole; ${brokenOff.size} were broken off by their replica, ${wrong} of these look complete to the client`);
	return wrong > 0 ? 1 : (whole > 0 ? 0 : 2);
}

await runCase(import.meta.dirname, play);
