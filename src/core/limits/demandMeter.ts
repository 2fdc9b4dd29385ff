import { DecayingSum } from "../routing/decayingSum.js";
import type { ServiceDemand } from "./serviceDemand.js";

interface DemandRecord {
    readonly requests: DecayingSum;
    readonly refusals: DecayingSum;
}

/** Time constant of the demand: long enough to see slow callers, short enough to follow a change of traffic. */
const WINDOW_MS = 2000;
/** Smaller rates are not reported. */
const MIN_PER_SECOND = 0.05;

/** Measures how many requests for each service reach this instance, and how many find no target. */
export class DemandMeter {
    readonly #services = new Map<string, DemandRecord>();

    /** Creates a meter that has seen no request. */
    static create(): DemandMeter {
        return new DemandMeter();
    }

    /** Records a request at a monotonic time in milliseconds. */
    addRequest(service: string, now: number): void {
        this.#ensure(service).requests.add(1, now);
    }

    /** Records a request that was refused because no target could take it. */
    addRefusal(service: string, now: number): void {
        this.#ensure(service).refusals.add(1, now);
    }

    /** Lists the demand of all services with recent requests. */
    list(now: number): readonly ServiceDemand[] {
        return [...this.#services].flatMap(([service, { requests, refusals }]) => {
            const perSecond = normalizeRate(requests.getPerSecond(now));
            return perSecond < MIN_PER_SECOND
                ? []
                : [[service, perSecond, normalizeRate(refusals.getPerSecond(now))] as const];
        });
    }

    #ensure(service: string): DemandRecord {
        let record = this.#services.get(service);
        if (!record) {
            record = { requests: DecayingSum.create(WINDOW_MS), refusals: DecayingSum.create(WINDOW_MS) };
            this.#services.set(service, record);
        }
        return record;
    }
}

/** Rounds to hundredths, to keep reports short. */
function normalizeRate(perSecond: number): number {
    return Math.round(perSecond * 100) / 100;
}
