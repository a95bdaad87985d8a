import {createServer} from 'node:http';
import process from 'node:process';
import {freePort} from '../../harness/ports.js';
import {listen} from '../../src/network/listen.js';
import {Metrics} from '../../src/observation/metrics.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';
import {TcpConnector} from '../../src/tunnels/tcp-connector.js';
import {TunnelServer} from '../../src/tunnels/tunnel-server.js';
import {RecordingLog} from './sample-fleet.js';

// An instance that carries tunnels, in a process that a test can kill.
const tunnelServer = new TunnelServer({
	direct: new TcpConnector(new ClockTimerService(), new Metrics(), 150), isServer: () => true, isAvailable: () => true, reachesAnother: async () => true, log: new RecordingLog(),
});
const server = createServer();
server.on('connect', (request, socket) => {
	void tunnelServer.accept(request, socket);
});
const port = await freePort();
await listen(server, '127.0.0.1', port);
process.send?.(port);
