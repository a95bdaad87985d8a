import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import * as z from 'zod';

const outcomeSchema = z.object({status: z.string(), failure: z.string()});

/** What a caller has received. */
export type WritingCallerOutcome = z.infer<typeof outcomeSchema>;

/** Writes a head, whose line ends are vertical bars, and a large body as fast as it can, and reads meanwhile. */
const script = String.raw`
const {connect} = require('node:net');
const [port, head, size] = process.argv.slice(1);
const socket = connect(Number(port), '127.0.0.1');
let received = '';
let failure = '';
socket.setEncoding('latin1');
socket.on('data', text => { received += text; });
socket.on('error', ({code}) => { failure = code; });
socket.on('close', () => { console.log(JSON.stringify({status: received.slice(9, 12), failure})); });
socket.write(head.replaceAll('|', '\r\n'));
socket.write(Buffer.alloc(Number(size), 'x'));
`;

/** Sends a request from a process of its own, whose body is on its way while it may be refused. The reply must close the connection. */
export async function sendFromWritingCaller(port: number, head: string, bodyBytes: number): Promise<WritingCallerOutcome> {
	const child = spawn(process.execPath, ['-e', script, String(port), head, String(bodyBytes)], {stdio: ['ignore', 'pipe', 'inherit']});
	let text = '';
	child.stdout.on('data', chunk => {
		text += String(chunk);
	});
	await once(child, 'close');
	return outcomeSchema.parse(JSON.parse(text));
}
