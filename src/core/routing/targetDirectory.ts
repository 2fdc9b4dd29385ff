import type { TargetDescriptor } from "./targetDescriptor.js";

type Registration = Pick<TargetDescriptor, "startedAtMs" | "sequence">;

/** Live targets register again within this time after the platform's store has recovered. */
const REGISTRATION_GRACE_MS = 2200;
/** An outage shorter than this cannot make a registration expire. */
const MIN_OUTAGE_MS = 1000;
/** Limit of dropped targets that are remembered; far more than leave within the age of a copy of the store. */
const MAX_DROPPED = 1000;
/** Part of the catch-up time that is reserved for late timers and for requests on their way to a target. */
const CATCH_UP_MARGIN_MS = 500;

/**
 * Targets that the platform lists. Registrations that expired during an outage of the store are kept for a grace period
 * after its recovery, because live targets need that long to register again.
 */
export class TargetDirectory {
    readonly #descriptors = new Map<string, TargetDescriptor>();
    /** Monotonic time in milliseconds at which a removed target is dropped, by identifier. */
    readonly #removals = new Map<string, number>();
    /** Last registrations of targets that were dropped, by identifier, the oldest first. */
    readonly #dropped = new Map<string, Registration>();
    readonly #catchUpMs: number;
    #unreachableSince: number | undefined;
    /** Monotonic time in milliseconds before which the current outage cannot have ended. */
    #outageEndsAfter = 0;
    #graceUntil = 0;

    private constructor(catchUpMs: number) {
        this.#catchUpMs = catchUpMs;
    }

    /**
     * Creates an empty directory.
     *
     * @param catchUpMs Time in milliseconds after the end of an outage of the store, or of the path to it, within which
     * removals must take effect.
     */
    static create(catchUpMs: number): TargetDirectory {
        return new TargetDirectory(catchUpMs);
    }

    /** Records that a call to the store failed, which was sent at `sentAt`. */
    setUnreachable(sentAt: number, now: number): void {
        this.#unreachableSince ??= now;
        this.#outageEndsAfter = sentAt;
    }

    /**
     * Records that the store is reachable; after an outage, this starts the grace period.
     *
     * @param isRestored True if the store has come back from a copy, which may lack targets that registered lately.
     */
    setReachable(now: number, isRestored = false): void {
        const since = this.#unreachableSince;
        if (isRestored || (since !== undefined && now - since >= MIN_OUTAGE_MS)) {
            // The outage may have ended any time after the last failed call was sent.
            const latest = since === undefined
                ? Number.POSITIVE_INFINITY
                : this.#outageEndsAfter + this.#catchUpMs - CATCH_UP_MARGIN_MS;
            this.#graceUntil = Math.min(now + REGISTRATION_GRACE_MS, latest);
        }
        this.#unreachableSince = undefined;
    }

    /** Adds or updates a target and cancels its pending removal. */
    set(descriptor: TargetDescriptor): void {
        this.#descriptors.set(descriptor.id, descriptor);
        this.#removals.delete(descriptor.id);
        this.#dropped.delete(descriptor.id);
    }

    /**
     * Removes a target, or schedules its removal for the end of the grace period.
     *
     * @returns False if the target is kept until then.
     */
    remove(id: string, now: number): boolean {
        if (this.#graceUntil > now && this.#descriptors.has(id)) {
            this.#removals.set(id, this.#graceUntil);
            return false;
        }
        this.#drop(id);
        return true;
    }

    /**
     * Adopts a complete list and removes targets missing from it.
     *
     * @param isOldCopy True if the list may be older than what is known: registrations that are older are not adopted.
     *
     * @returns Identifiers of the targets missing from the list, and of those whose registration was not adopted.
     */
    replaceAll(
        descriptors: readonly TargetDescriptor[],
        now: number,
        isOldCopy = false,
    ): { readonly missing: readonly string[]; readonly outdated: readonly string[]; } {
        const listed = new Set(descriptors.map(descriptor => descriptor.id));
        const missing = [...this.#descriptors.keys()].filter(id => !listed.has(id));
        missing.forEach(id => this.remove(id, now));
        const outdated = descriptors.filter(descriptor => isOldCopy && this.#isOutdated(descriptor));
        descriptors.filter(descriptor => !outdated.includes(descriptor))
            .forEach(descriptor => this.set(descriptor));
        return { missing, outdated: outdated.map(({ id }) => id) };
    }

    /** Drops removed targets whose grace period is over, and returns their identifiers. */
    expire(now: number): readonly string[] {
        const expired = [...this.#removals].filter(([, dropAt]) => dropAt <= now).map(([id]) => id);
        for (const id of expired) {
            this.#drop(id);
        }
        return expired;
    }

    #isOutdated(descriptor: TargetDescriptor): boolean {
        const listed = this.#descriptors.get(descriptor.id);
        if (listed) {
            return compareRegistrations(descriptor, listed) < 0;
        }
        const dropped = this.#dropped.get(descriptor.id);
        return dropped !== undefined && compareRegistrations(descriptor, dropped) <= 0;
    }

    #drop(id: string): void {
        const descriptor = this.#descriptors.get(id);
        if (descriptor) {
            const { startedAtMs, sequence } = descriptor;
            this.#dropped.set(id, { startedAtMs, sequence });
        }
        const [oldest] = this.#dropped.keys();
        if (this.#dropped.size > MAX_DROPPED && oldest !== undefined) {
            this.#dropped.delete(oldest);
        }
        this.#descriptors.delete(id);
        this.#removals.delete(id);
    }

    /** Returns whether a target is listed or kept. */
    has(id: string): boolean {
        return this.#descriptors.has(id);
    }

    /** Lists the targets, including removed ones whose grace period is not over. */
    list(now: number): readonly TargetDescriptor[] {
        this.expire(now);
        return [...this.#descriptors.values()];
    }

    /** Monotonic time in milliseconds of the next pending removal; `undefined` if there is none. */
    get nextChangeAt(): number | undefined {
        const times = [...this.#removals.values()];
        return times.length > 0 ? Math.min(...times) : undefined;
    }
}

function compareRegistrations(a: Registration, b: Registration): number {
    return a.startedAtMs - b.startedAtMs || a.sequence - b.sequence;
}
