import process from 'node:process';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {PlatformSimulator} from './platform-simulator.js';

const port = await new PlatformSimulator(new ClockTimerService()).listen(Number(process.argv[2] ?? '0'));
console.log(`listening ${port}`);
