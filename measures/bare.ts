import process from 'node:process';
import '../src/wiring.js'; // eslint-disable-line import-x/no-unassigned-import
import {ClockTimerService} from '../src/time/clock-timer-service.js';

// Baseline for memory measurements: loads the modules of an entry instance and does nothing else.
const timers = new ClockTimerService();
await timers.sleep(1000);
const {heapUsed, rss} = process.memoryUsage();
console.log(`memory ${heapUsed} ${rss}`);
await timers.sleep(10_000);
