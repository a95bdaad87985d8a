import process from 'node:process';
import {PartitionSimulator} from './partition-simulator.js';

// Loaded into a router's process before the router, so that a test can cut it off from the backend servers.
const file = process.env.PARTITION_FILE;
if (file !== undefined) {
	new PartitionSimulator(file).install();
}
