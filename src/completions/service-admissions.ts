import {Admission} from '../admission/admission.js';
import {type AdmissionOutcome} from '../admission/admission-outcome.js';
import {type Service} from '../configuration/sheet-row.js';
import {type Invariants} from '../observation/invariants.js';
import {type StreamCapacity} from './stream-capacity.js';
import {type CompletionLimits} from './completion-limits.js';
import {type CompletionRequest} from './completion-request.js';

type ServiceAdmission = {
	readonly service: Service;
	readonly admission: Admission;
};

/** Admission of completion requests per service, limited by the slots of this instance for that service. */
export class ServiceAdmissions {
	private readonly admissions = new Map<string, ServiceAdmission>();

	constructor(private readonly limits: CompletionLimits, private readonly capacity: StreamCapacity, private readonly invariants: Invariants) {}

	/** Number of waiting requests. */
	get waiting(): number {
		return [...this.admissions.values()].reduce((sum, {admission}) => sum + admission.waitingCount, 0);
	}

	/** Decides on the admission of a request. */
	request({id, workspace, priority, promptTokens, maximumTokens, deadline, service}: CompletionRequest, now: number): AdmissionOutcome {
		const request = {
			id,
			workspace: workspace.name,
			priority,
			share: workspace.share,
			cost: promptTokens + maximumTokens,
			deadline,
			expectedDuration: this.capacity.estimateDuration(maximumTokens),
		};
		const admission = this.getAdmission(service);
		return admission.request(request, this.getSlots(service, now), now);
	}

	/**
	Removes a request that has ended and admits others in its place.

	@param duration - milliseconds from its arrival to its end; undefined if it never ran
	*/
	end({id, service}: CompletionRequest, duration: number | undefined, now: number): AdmissionOutcome {
		return this.getAdmission(service).end(id, this.getSlots(service, now), now, duration);
	}

	/** Admits or refuses waiting requests as time passes, one service at a time. */
	* advance(now: number): Iterable<AdmissionOutcome> {
		for (const {service, admission} of this.admissions.values()) {
			if (admission.waitingCount > 0) {
				yield admission.advance(this.getSlots(service, now), now);
			}
		}
	}

	private getAdmission(service: Service): Admission {
		const admission = this.admissions.get(service.name)?.admission ?? new Admission(this.limits, this.invariants);
		// A later version of the sheet may have changed the service.
		this.admissions.set(service.name, {service, admission});
		return admission;
	}

	private getSlots(service: Service, now: number): number {
		const ownStreams = this.admissions.get(service.name)?.admission.runningCount ?? 0;
		return Math.min(this.limits.maximumStreams, this.capacity.computeSlots(service, ownStreams, now));
	}
}
