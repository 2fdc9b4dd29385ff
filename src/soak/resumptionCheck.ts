import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { ObservedRequest } from "./observedRequest.js";
import type { SoakViolation } from "./soakViolation.js";

interface Count {
    readonly total: number;
    readonly served: number;
}

const CONTACT_MS = 4000;
const MIN_RESUMPTIONS = 12;
const MIN_TARGETS = 2;
const NONE: Count = { total: 0, served: 0 };

/** Compares how many streams go on after callers have taken them up with how many new streams begin. */
export class ResumptionCheck {
    readonly #fleet: CooperativeFleet;
    readonly #rule: SoakViolation["rule"];
    #begun = NONE;
    #resumed = NONE;

    private constructor(fleet: CooperativeFleet, rule: SoakViolation["rule"]) {
        this.#fleet = fleet;
        this.#rule = rule;
    }

    /** Creates a check that has counted nothing and reports violations of a rule. */
    static create(fleet: CooperativeFleet, rule: SoakViolation["rule"]): ResumptionCheck {
        return new ResumptionCheck(fleet, rule);
    }

    /** Streams that were taken up at calm instances while two targets of their version served. */
    get resumptions(): number {
        return this.#resumed.total;
    }

    /**
     * Counts an attempt on a resumable route.
     *
     * @param version Software version that began the stream; `undefined` for a new stream.
     * @param isServed Whether the attempt brought events, or the end of the stream.
     */
    record(request: ObservedRequest, version: string | undefined, isServed: boolean): void {
        if (!this.#isCalm(request)) {
            return;
        }
        if (!request.resumed) {
            this.#begun = addAttempt(this.#begun, isServed);
        }
        else if (this.#countTargets(version, request) >= MIN_TARGETS) {
            this.#resumed = addAttempt(this.#resumed, isServed);
        }
    }

    /** Returns a violation if less than half as many streams go on as begin. */
    list(): readonly SoakViolation[] {
        const [begun, resumed] = [this.#begun, this.#resumed];
        if (resumed.total < MIN_RESUMPTIONS || begun.total === 0) {
            return [];
        }
        const text = `${resumed.served} of ${resumed.total} went on, ${begun.served} of ${begun.total} began`;
        return resumed.served / resumed.total < begun.served / begun.total / 2
            ? [{ rule: this.#rule, subject: "streams", text }]
            : [];
    }

    #isCalm({ host, sentAt, endedAt }: ObservedRequest): boolean {
        return [host, `stop ${host}`, "store", "link engine"].every(subject =>
            !this.#fleet.impairments.find(subject, sentAt - CONTACT_MS, endedAt)
        );
    }

    #countTargets(version: string | undefined, { sentAt, endedAt }: ObservedRequest): number {
        const { runningTargets, impairments } = this.#fleet;
        return runningTargets.filter(({ target, registration }) =>
            target.service === "engine" && target.version === version && registration.state === "ready"
            && !impairments.find(target.id, sentAt - CONTACT_MS, endedAt)
        ).length;
    }
}

function addAttempt({ total, served }: Count, isServed: boolean): Count {
    return { total: total + 1, served: served + (isServed ? 1 : 0) };
}
