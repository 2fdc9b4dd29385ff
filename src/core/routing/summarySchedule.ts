/** A data centre tells the others of its region about itself this often, since they share targets. */
const INTERVAL_MS = 300;
/** Traffic between regions is billed, so other regions get every second summary. */
const REGION_TURNS = 2;

/** Decides when a data centre sends a summary, and to whom. */
export class SummarySchedule {
    #nextAt = 0;
    #turns = 0;

    /** Creates a schedule whose first summary is due at once. */
    static create(): SummarySchedule {
        return new SummarySchedule();
    }

    /** Takes the turn that is due at a monotonic time in milliseconds, if one is. */
    takeTurn(now: number): "none" | "region" | "all" {
        if (now < this.#nextAt) {
            return "none";
        }
        this.#nextAt = now + INTERVAL_MS;
        this.#turns += 1;
        return this.#turns % REGION_TURNS === 1 ? "all" : "region";
    }
}
