/** Interval of summaries to the other data centres of the region, which share targets with this one. */
const INTERVAL_MS = 300;
/** Traffic between regions is billed, so only every second summary goes to other regions. */
const REGION_TURNS = 2;

/** Decides when a data centre sends a summary, and whether it goes to its region or to all. */
export class SummarySchedule {
    #nextAt = 0;
    #turns = 0;

    /** Creates a schedule whose first summary is due at once. */
    static create(): SummarySchedule {
        return new SummarySchedule();
    }

    /** Returns the scope of the summary that is due at a monotonic time in milliseconds, and schedules the next one. */
    takeTurn(now: number): "none" | "region" | "all" {
        if (now < this.#nextAt) {
            return "none";
        }
        this.#nextAt = now + INTERVAL_MS;
        this.#turns += 1;
        return this.#turns % REGION_TURNS === 1 ? "all" : "region";
    }
}
