import { DecayingSum } from "../routing/decayingSum.js";

interface UsageRecord {
    readonly received: DecayingSum;
    readonly used: DecayingSum;
    /** Monotonic time in milliseconds. */
    readonly limitedSince: number;
}

/** Time constant of the rates of permits. */
const WINDOW_MS = 2000;
/** Below this number of recent permits, what was used of them says nothing. */
const MIN_RECEIVED = 1;

/** Permits that this instance has received and used lately, by service. Times are monotonic milliseconds. */
export class PermitUsage {
    readonly #services = new Map<string, UsageRecord>();

    /** Creates a record of nothing. */
    static create(): PermitUsage {
        return new PermitUsage();
    }

    /** Records a service while at least one of its targets has a limit. */
    setLimited(service: string, isLimited: boolean, now: number): void {
        if (!isLimited) {
            this.#services.delete(service);
            return;
        }
        if (this.#services.has(service)) {
            return;
        }
        this.#services.set(service, {
            received: DecayingSum.create(WINDOW_MS),
            used: DecayingSum.create(WINDOW_MS),
            limitedSince: now,
        });
    }

    /** Records permits that have arrived. */
    addReceived(service: string, count: number, now: number): void {
        this.#services.get(service)?.received.add(count, now);
    }

    /** Records that a permit was used. */
    addUsed(service: string, now: number): void {
        this.#services.get(service)?.used.add(1, now);
    }

    /** Returns the permits that arrive per second, or `undefined` while the limits are too new to tell. */
    getPerSecond(service: string, now: number): number | undefined {
        const known = this.#services.get(service);
        return known === undefined || now - known.limitedSince < WINDOW_MS
            ? undefined
            : known.received.getPerSecond(now);
    }

    /** Returns the share of the recent permits that were used, from 0 to 1. */
    getUsedShare(service: string, now: number): number {
        const known = this.#services.get(service);
        const received = known?.received.get(now) ?? 0;
        return known && received > MIN_RECEIVED ? Math.min(1, known.used.get(now) / received) : 1;
    }
}
