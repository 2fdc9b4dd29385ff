/** A prompt part and a target that keeps it. */
type PartLocation = readonly [partId: string, targetId: string];

/** Engines keep a part for about this long after its last use; parts that are read again within it are billed. */
const HOLD_MS = 10_000;
/** Locations in one report; more wait for the next one, so that a datagram stays small. */
const MAX_REPORTED = 60;
/** Locations that wait for the next summary; older ones are dropped by instances that send none. */
const MAX_SUMMARISED = 200;

/**
 * Which targets have read which shared prompt parts lately, from own answers and from reports of peers, so that a part
 * can be fetched from one of them instead of being read again.
 */
export class PromptHolders {
    /** Monotonic time in milliseconds until which a target counts as holder, by part and target. */
    readonly #holders = new Map<string, Map<string, number>>();
    #news: PartLocation[] = [];
    #summary: PartLocation[] = [];
    #nextEvictionAt = 0;

    /** Creates an empty record. */
    static create(): PromptHolders {
        return new PromptHolders();
    }

    /** Records that a target has read a part for a request of this instance. */
    record(partId: string, targetId: string, now: number): void {
        const location = [partId, targetId] as const;
        if (this.#renew(location, now)) {
            this.#news.push(location);
            this.#addToSummary(location);
        }
    }

    /** Adopts what a peer reports; locations of the own data centre go into its summary. */
    adopt(locations: readonly PartLocation[], isNear: boolean, now: number): void {
        for (const location of locations) {
            if (this.#renew(location, now) && isNear) {
                this.#addToSummary(location);
            }
        }
    }

    /** Returns whether a target has read a part lately. */
    has(partId: string, targetId: string, now: number): boolean {
        return (this.#holders.get(partId)?.get(targetId) ?? 0) > now;
    }

    /** Returns whether any target has. */
    isKnown(partId: string, now: number): boolean {
        return [...this.#holders.get(partId)?.values() ?? []].some(until => until > now);
    }

    /** Takes the locations of this instance that its neighbours do not know yet. */
    takeNews(now: number): readonly PartLocation[] {
        this.#evictExpired(now);
        return this.#news.splice(0, MAX_REPORTED);
    }

    /** Takes the locations of the data centre that others do not know yet. */
    takeSummary(): readonly PartLocation[] {
        return this.#summary.splice(0);
    }

    /** Returns true if the location was not known, or only from long ago. */
    #renew([partId, targetId]: PartLocation, now: number): boolean {
        let targets = this.#holders.get(partId);
        if (!targets) {
            targets = new Map();
            this.#holders.set(partId, targets);
        }
        const isNews = (targets.get(targetId) ?? 0) < now + HOLD_MS / 2;
        if (isNews) {
            targets.set(targetId, now + HOLD_MS);
        }
        return isNews;
    }

    #addToSummary(location: PartLocation): void {
        this.#summary.push(location);
        this.#summary.splice(0, Math.max(0, this.#summary.length - MAX_SUMMARISED));
    }

    #evictExpired(now: number): void {
        if (now < this.#nextEvictionAt) {
            return;
        }
        this.#nextEvictionAt = now + HOLD_MS;
        for (const [partId, targets] of this.#holders) {
            targets.forEach((until, targetId) => until <= now && targets.delete(targetId));
            if (targets.size === 0) {
                this.#holders.delete(partId);
            }
        }
    }
}
