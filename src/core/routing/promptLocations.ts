/** A prompt part and a target that has a cached copy of it. */
type PartLocation = readonly [partId: string, targetId: string];

/** Engines cache a part for about this long after its last use; reading a part again within this time is billed. */
const CACHE_RETENTION_MS = 10_000;
/** Locations per report, to keep datagrams small; the rest wait for the next report. */
const MAX_REPORTED = 60;
/** Locations kept for the next summary; instances that send no summaries drop the oldest. */
const MAX_SUMMARISED = 200;

/**
 * Tracks which targets have recently read which shared prompt parts, from responses to this instance and from reports of
 * peers, so that a part can be fetched from one of them instead of being read again.
 */
export class PromptLocations {
    /** Monotonic time in milliseconds until which a copy is expected to be cached, by part and target. */
    readonly #cachedUntil = new Map<string, Map<string, number>>();
    #pending: PartLocation[] = [];
    #summary: PartLocation[] = [];
    #localSummary: PartLocation[] = [];
    #nextEvictionAt = 0;

    /** Creates an empty record. */
    static create(): PromptLocations {
        return new PromptLocations();
    }

    /** Records that a target has read a part for a request of this instance. */
    record(partId: string, targetId: string, now: number): void {
        const location = [partId, targetId] as const;
        if (this.#renew(location, now)) {
            this.#pending.push(location);
            this.#addToSummary(location);
        }
    }

    /** Adopts locations reported by a peer; those reported in the local data centre also go into its summary. */
    adopt(locations: readonly PartLocation[], isLocal: boolean, now: number): void {
        for (const location of locations) {
            if (this.#renew(location, now) && isLocal) {
                this.#addToSummary(location);
            }
        }
    }

    /** Returns whether a target has read a part recently and probably still has it cached. */
    has(partId: string, targetId: string, now: number): boolean {
        return (this.#cachedUntil.get(partId)?.get(targetId) ?? 0) > now;
    }

    /** Returns whether any target has read a part recently and probably still has it cached. */
    hasAny(partId: string, now: number): boolean {
        return [...this.#cachedUntil.get(partId)?.values() ?? []].some(until => until > now);
    }

    /** Takes locations recorded by this instance that were not yet reported to peers in the same data centre. */
    takePending(now: number): readonly PartLocation[] {
        this.#evictExpired(now);
        return this.#pending.splice(0, MAX_REPORTED);
    }

    /** Takes the locations of the local data centre that were not yet reported to remote ones. */
    takeSummary(): readonly PartLocation[] {
        return this.#summary.splice(0);
    }

    /** Takes the locations of the local data centre that were not yet reported to all of its instances. */
    takeLocalSummary(): readonly PartLocation[] {
        return this.#localSummary.splice(0);
    }

    /** Renews a location that is unknown or has passed half of its time; returns whether it did. */
    #renew([partId, targetId]: PartLocation, now: number): boolean {
        let targets = this.#cachedUntil.get(partId);
        if (!targets) {
            targets = new Map();
            this.#cachedUntil.set(partId, targets);
        }
        const isDue = (targets.get(targetId) ?? 0) < now + CACHE_RETENTION_MS / 2;
        if (isDue) {
            targets.set(targetId, now + CACHE_RETENTION_MS);
        }
        return isDue;
    }

    #addToSummary(location: PartLocation): void {
        this.#summary.push(location);
        this.#localSummary.push(location);
        for (const list of [this.#summary, this.#localSummary]) {
            list.splice(0, Math.max(0, list.length - MAX_SUMMARISED));
        }
    }

    #evictExpired(now: number): void {
        if (now < this.#nextEvictionAt) {
            return;
        }
        this.#nextEvictionAt = now + CACHE_RETENTION_MS;
        for (const [partId, targets] of this.#cachedUntil) {
            targets.forEach((until, targetId) => until <= now && targets.delete(targetId));
            if (targets.size === 0) {
                this.#cachedUntil.delete(partId);
            }
        }
    }
}
