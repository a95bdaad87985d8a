import process from 'node:process';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {RecordsSimulator} from './records-simulator.js';

const port = await new RecordsSimulator(new ClockTimerService()).listen(Number(process.argv[2] ?? '0'));
console.log(`listening ${port}`);
