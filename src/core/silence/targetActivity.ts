interface OpenAttempt {
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
    /** Returns the time in milliseconds that the first event may take at a busy target. */
    readonly getExpectedMs: () => number;
}

/**
 * What a target shows of itself to this instance: when it last answered anything, and the attempts that wait for their first event.
 * Times are monotonic milliseconds, without those in which the process was suspended.
 */
export class TargetActivity {
    #answeredAt = Number.NEGATIVE_INFINITY;
    readonly #open = new Map<object, OpenAttempt>();

    /** Creates the activity of a target that has got nothing. */
    static create(): TargetActivity {
        return new TargetActivity();
    }

    /** Adds an attempt whose connection has been made. */
    add(attempt: object, open: OpenAttempt): void {
        this.#open.set(attempt, open);
    }

    /** Removes an attempt that has got its first event or has ended. */
    remove(attempt: object): void {
        this.#open.delete(attempt);
    }

    /** Records bytes of the target, in whatever response. */
    recordAnswer(now: number): void {
        this.#answeredAt = now;
    }

    /** Returns for how long the target has been silent beyond what the attempts that wait there explain. */
    getOverdueMs(now: number): number {
        let overdueMs = 0;
        for (const { startedAt, getExpectedMs } of this.#open.values()) {
            const silentMs = now - Math.max(startedAt, this.#answeredAt);
            overdueMs = Math.max(overdueMs, silentMs - getExpectedMs());
        }
        return overdueMs;
    }
}
