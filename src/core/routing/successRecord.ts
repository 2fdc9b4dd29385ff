interface Success {
    /** Monotonic time in milliseconds of the last complete response. */
    readonly at: number;
    /** Monotonic time in milliseconds from which the success may be reported again. */
    readonly reportableAt: number;
}

/** A complete response shows for this long that its request is harmless. */
const RETENTION_MS = 600_000;
const MAX_KEYS = 5000;
/** Shortest interval between two reports of one success. */
const REPORT_INTERVAL_MS = 500;

/** Last complete responses by crash key. Times are monotonic, in milliseconds. */
export class SuccessRecord {
    /** In order of the last renewal, in which keys expire. */
    readonly #successes = new Map<string, Success>();

    /** Creates a record without responses. */
    static create(): SuccessRecord {
        return new SuccessRecord();
    }

    /** Returns when the last complete response arrived; `undefined` if none is known. */
    find(key: string): number | undefined {
        return this.#successes.get(key)?.at;
    }

    /** Records a complete response, and forgets the oldest ones. */
    renew(key: string, at: number, now: number): void {
        const known = this.#successes.get(key);
        this.#successes.delete(key);
        this.#successes.set(key, {
            at: Math.max(at, known?.at ?? at),
            reportableAt: known?.reportableAt ?? now,
        });
        for (const [oldest, success] of this.#successes) {
            if (success.at + RETENTION_MS > now && this.#successes.size <= MAX_KEYS) {
                break;
            }
            this.#successes.delete(oldest);
        }
    }

    /** Returns the time of the last complete response if it is due to be reported; `undefined` otherwise. */
    takeReport(key: string, now: number): number | undefined {
        const success = this.#successes.get(key);
        if (!success || success.reportableAt > now) {
            return undefined;
        }
        this.#successes.set(key, { ...success, reportableAt: now + REPORT_INTERVAL_MS });
        return success.at;
    }
}
