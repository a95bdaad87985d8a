// A replica in trouble answers with neither a length nor chunks, and sends bytes without end until the router closes. The client must not take what it gets for a complete answer.
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	Replica, runCase, send, sleep, startSystem,
} from '../lib/stand-ins.mjs';

const requestCount = 10;
const chunkBytes = 16_384;
const soundBody = JSON.stringify({found: true, padding: '.'.repeat(700)});

function digest(text) {
	return createHash('sha256').update(text).digest('hex').slice(0, 12);
}

async function play(context) {
	const {record, parts, isTrouble} = context;
	const sentBytes = new Map();
	/** Answers without a length, whole and at once; the end of the connection ends the answer. */
	const answerSound = (message, _response, _body, replica) => {
		message.socket.end(replica.createHead(message, {Connection: 'close'}) + soundBody);
	};

	/** The same head, and then bytes that never end, until the other side closes. */
	const answerEndlessly = (message, _response, _body, replica) => {
		const id = message.headers['siskinnotch-attempt-id'];
		const {socket} = message;
		socket.write(replica.createHead(message, {Connection: 'close'}));
		const timer = setInterval(() => {
			if (socket.writable) {
				socket.write(Buffer.alloc(chunkBytes, '#'));
				sentBytes.set(id, (sentBytes.get(id) ?? 0) + chunkBytes);
			}
		}, 10);
		socket.on('close', () => {
			clearInterval(timer);
			record.write('replica', replica.id, 'sent', sentBytes.get(id), 'bytes of an answer that has no end to', id, 'until its connection was closed');
		});
	};

	const replicas = [new Replica('rec-a', {service: 'svc-records', run: isTrouble ? answerEndlessly : answerSound})];
	await startSystem(context, {replicas});
	await sleep(3500);
	const [router] = parts.routers;
	let broken = 0;
	for (let index = 0; index < requestCount; index++) {
		const id = `cert-${index}`;
		const answer = await send(router, {id, target: '/certs/issue', deadline: 1500}); // eslint-disable-line no-await-in-loop
		const isSuccess = answer.status >= 200 && answer.status < 300 && answer.isComplete;
		const isWrong = isSuccess && answer.text !== soundBody;
		broken += isWrong ? 1 : 0;
		const seen = `status ${answer.status}, ${answer.ending}, ${answer.bytes} bytes after ${answer.endedAt - answer.sentAt} ms, signature ${answer.headers?.['siskinnotch-replica-signature']}`;
		record.write(`client got for ${id}: ${seen}, digest ${digest(answer.text)}${isWrong ? ': it looks complete, but the answer of the replica had no end' : ''}`);
	}

	record.write(`${broken} of ${requestCount} answers that ended early look complete`);
	return broken > 0 ? 1 : 0;
}

await runCase(import.meta.dirname, play);
