// One of two model replicas spoils one byte in one of 50 streams: a digit of an event's id. The client must not get a stream that ends as complete without the pieces that the replica sent.
import {
	Replica, now, runCase, send, sleep, startSystem,
} from '../lib/stand-ins.mjs';

/** The mean of the sheet. */
const pieceCount = 57;
const pieceMs = 20;
/** Share of the answers that the site's replicas spoil: 0.02. */
const answersPerSpoiltOne = 50;
const streamsAtOnce = 24;
const testMs = 20_000;
/** "id: 12" becomes "id: 52". */
const spoiltPiece = 12;
const spoiltId = 52;

async function play(context) {
	const {record, parts, isTrouble} = context;
	const spoiltStreams = new Map();
	let answerCount = 0;
	const stream = async (message, response, _body, replica) => {
		const id = message.headers['siskinnotch-attempt-id'];
		const first = Number(message.headers['last-event-id'] ?? 0) + 1;
		const isSpoilt = isTrouble && replica.id === 'model-b' && first === 1 && ++answerCount % answersPerSpoiltOne === 0;
		response.writeHead(200, replica.headers(message, {'content-type': 'text/event-stream'}));
		for (let piece = first; piece <= pieceCount; piece++) {
			await sleep(pieceMs); // eslint-disable-line no-await-in-loop
			if (response.destroyed) {
				return;
			}

			const eventId = isSpoilt && piece === spoiltPiece ? spoiltId : piece;
			response.write(`id: ${eventId}\ndata: ${id} piece ${piece}\n\n`);
		}

		response.end();
		if (isSpoilt) {
			spoiltStreams.set(id, replica.id);
			record.write('replica', replica.id, 'sent all', pieceCount, 'pieces of', id, `with one wrong byte: "id: ${spoiltId}" for "id: ${spoiltPiece}"`);
		}
	};

	const replicas = ['model-a', 'model-b'].map(id => new Replica(id, {service: 'svc-model', accelerator: 'large', run: stream}));
	await startSystem(context, {replicas, routers: 2});
	// Placement has to be done, and the machine in touch.
	await sleep(3500);
	const [router] = parts.routers;
	let broken = 0;
	let whole = 0;
	const endsAt = now() + testMs;
	const runClient = async name => {
		for (let index = 0; now() < endsAt; index++) {
			const id = `${name}-${index}`;
			const answer = await send(router, { // eslint-disable-line no-await-in-loop
				id, target: '/drafts/notes', deadline: 20_000, headers: {'siskinnotch-token-usage': '760,200', 'siskinnotch-model-name': 'm0'},
			});
			if (answer.status !== 200 || !answer.isComplete) {
				record.write('client got for', id, answer.status, answer.ending);
				await sleep(100); // eslint-disable-line no-await-in-loop
				continue;
			}

			const pieces = [...answer.text.matchAll(/piece (?<piece>\d+)$/gmv)].map(({groups}) => Number(groups.piece));
			const missing = Array.from({length: pieceCount}, (_, piece) => piece + 1).filter(piece => !pieces.includes(piece));
			const isBroken = missing.length > 0 || pieces.length !== new Set(pieces).size;
			broken += isBroken ? 1 : 0;
			whole += isBroken ? 0 : 1;
			if (isBroken || spoiltStreams.has(id)) {
				const gap = missing.length > 0 ? `; ${missing.length} are missing: ${missing[0]} to ${missing.at(-1)}` : '';
				record.write(`client got for ${id}: status 200, the end of the stream as complete, ${pieces.length} of ${pieceCount} pieces${gap}`);
			}
		}
	};

	const clients = Array.from({length: streamsAtOnce}, async (_, index) => runClient(`client-${index + 1}`));
	await Promise.all(clients);
	record.write(`${whole} streams were whole, ${broken} were incomplete and ended as complete; ${spoiltStreams.size} were spoilt by one byte`);
	return broken > 0 ? 1 : (whole > 0 ? 0 : 2);
}

await runCase(import.meta.dirname, play);
