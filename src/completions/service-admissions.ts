import {Admission} from '../admission/admission.js';
import {type AdmissionOutcome} from '../admission/admission-outcome.js';
import {type Service} from '../configuration/sheet-row.js';
import {type Invariants} from '../observation/invariants.js';
import {type StreamCapacity} from './stream-capacity.js';
import {type CompletionLimits} from './completion-limits.js';
import {type CompletionRequest} from './completion-request.js';

type Entry = {
	readonly service: Service;
	readonly admission: Admission;
};

/** The admission of drafts to each service, with the slots that this instance has there. */
export class ServiceAdmissions {
	private readonly entries = new Map<string, Entry>();

	constructor(private readonly limits: CompletionLimits, private readonly capacity: StreamCapacity, private readonly invariants: Invariants) {}

	/** Number of drafts that wait. */
	get waiting(): number {
		return [...this.entries.values()].reduce((sum, {admission}) => sum + admission.waitingCount, 0);
	}

	/** A draft asks to be admitted. */
	request({id, workspace, priority, promptTokens, maximumTokens, deadline, service}: CompletionRequest, now: number): AdmissionOutcome {
		const ticket = {
			id,
			workspace: workspace.name,
			priority,
			share: workspace.share,
			cost: promptTokens + maximumTokens,
			deadline,
			expectedDuration: this.capacity.estimateDuration(maximumTokens),
		};
		const admission = this.admissionOf(service);
		return admission.request(ticket, this.slotsOf(service, now), now);
	}

	/**
	A draft ended.

	@param duration - milliseconds that it ran; undefined where it did not
	*/
	end({id, service}: CompletionRequest, duration: number | undefined, now: number): AdmissionOutcome {
		return this.admissionOf(service).end(id, this.slotsOf(service, now), now, duration);
	}

	/** Admits or refuses those that wait, as time passes, one service after the other. */
	* advance(now: number): Iterable<AdmissionOutcome> {
		for (const {service, admission} of this.entries.values()) {
			if (admission.waitingCount > 0) {
				yield admission.advance(this.slotsOf(service, now), now);
			}
		}
	}

	private admissionOf(service: Service): Admission {
		const admission = this.entries.get(service.name)?.admission ?? new Admission(this.limits, this.invariants);
		// A later version of the sheet may describe the service otherwise.
		this.entries.set(service.name, {service, admission});
		return admission;
	}

	private slotsOf(service: Service, now: number): number {
		const own = this.entries.get(service.name)?.admission.runningCount ?? 0;
		return Math.min(this.limits.maximumStreams, this.capacity.computeSlots(service, own, now));
	}
}
