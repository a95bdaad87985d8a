import {type ClientRequest} from 'node:http';

/** Interim responses, such as 100 Continue, that may precede the response to one request. */
const maxInterimResponses = 16;

/** Calls the listener once if more interim responses arrive than any server needs to send; the request is to be ended then. */
export function limitInterimResponses(request: ClientRequest, onExcess: () => void): void {
	let count = 0;
	request.on('information', () => {
		count++;
		if (count === maxInterimResponses + 1) {
			onExcess();
		}
	});
}
