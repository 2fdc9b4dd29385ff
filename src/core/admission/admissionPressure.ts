import { DecayingSum } from "../routing/decayingSum.js";

interface ReportedDemand {
    /** Tokens a second that accounts within their share lack. */
    readonly perSecond: number;
    /** Monotonic time in milliseconds. */
    readonly validUntil: number;
}

type OnChange = (isShort: boolean, unmetPerSecond: number) => void;

/** Time constant of the refused tokens: refused callers come back after 250 ms at the earliest, so older refusals are moot. */
const REFUSED_WINDOW_MS = 500;
/** Time in milliseconds for which a refusal shows that capacity is contended; a refused caller may be back by then. */
const CONTENDED_MS = 500;
/** Part of the capacity that accounts within their share may lack elsewhere before the others yield here. */
const MAX_UNMET_RATIO = 0.01;

/**
 * Tells whether accounts within their share lack capacity, at this instance or elsewhere. Only then does capacity have to be
 * taken from accounts beyond their share; otherwise it would stay idle.
 */
export class AdmissionPressure {
    readonly #onChange: OnChange | undefined;
    #wasShort = false;
    /** Refused tokens of accounts within their share. */
    readonly #unmet = DecayingSum.create(REFUSED_WINDOW_MS);
    /** Monotonic times in milliseconds of the last refusal, whosever request it was, and of the last one within a share. */
    #refusedAt = Number.NEGATIVE_INFINITY;
    #unmetAt = Number.NEGATIVE_INFINITY;
    /** Unmet demand by the instance or data centre that reported it. */
    readonly #reported = new Map<string, ReportedDemand>();

    private constructor(onChange: OnChange | undefined) {
        this.#onChange = onChange;
    }

    /** Creates a pressure without refusals; `onChange` is called when capacity has become short or is not short any more. */
    static create(onChange?: OnChange): AdmissionPressure {
        return new AdmissionPressure(onChange);
    }

    /** Records a request that was refused for want of capacity. */
    recordRefusal(tokens: number, isWithinShare: boolean, now: number): void {
        this.#refusedAt = now;
        if (isWithinShare) {
            this.#unmet.add(tokens, now);
            this.#unmetAt = now;
        }
    }

    /** Replaces the unmet demand in tokens a second that an instance or a data centre has reported. */
    setReported(sender: string, perSecond: number, validUntil: number): void {
        if (perSecond > 0) {
            this.#reported.set(sender, { perSecond, validUntil });
        }
        else {
            this.#reported.delete(sender);
        }
    }

    /** Number of senders whose reports are kept. */
    get reportCount(): number {
        return this.#reported.size;
    }

    /** Returns the tokens a second that accounts within their share lack at this instance. */
    getLocalUnmet(now: number): number {
        return this.#unmet.getPerSecond(now);
    }

    /** Returns the tokens a second that accounts within their share lack at this instance and at the given senders. */
    sumUnmet(now: number, senders: Iterable<string> = this.#reported.keys()): number {
        let unmet = this.getLocalUnmet(now);
        for (const sender of senders) {
            const demand = this.#reported.get(sender);
            if (demand && demand.validUntil < now) {
                // Its sender may be gone; names of instances that were replaced would be kept for good.
                this.#reported.delete(sender);
            }
            else {
                unmet += demand?.perSecond ?? 0;
            }
        }
        return unmet;
    }

    /**
     * Returns whether accounts within their share lack capacity. Any refusal here counts, as a part of the capacity may be all that
     * a small account asks for; elsewhere more than a small part of the capacity has to be lacking.
     */
    isShort(capacityPerSecond: number, now: number): boolean {
        return now - this.#unmetAt < CONTENDED_MS
            || this.sumUnmet(now) > capacityPerSecond * MAX_UNMET_RATIO;
    }

    /** Tells whether capacity has become short or is not short any more. */
    notify(isShort: boolean, now: number): void {
        if (isShort !== this.#wasShort) {
            this.#wasShort = isShort;
            this.#onChange?.(isShort, this.sumUnmet(now));
        }
    }

    /** Returns whether this instance has just refused a request, whosever it was. */
    isContended(now: number): boolean {
        return now - this.#refusedAt < CONTENDED_MS;
    }
}
