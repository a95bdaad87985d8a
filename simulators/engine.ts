import process from 'node:process';
import * as z from 'zod';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {engineSettingsSchema} from './engine-settings.js';
import {EngineSimulator} from './engine-simulator.js';

const timers = new ClockTimerService();
const engines = z.array(engineSettingsSchema).parse(JSON.parse(process.argv[2] ?? '[]'));
const ports = await Promise.all(engines.map(async settings => new EngineSimulator(settings, timers).listen()));
console.log(`listening ${ports.join(' ')}`);
