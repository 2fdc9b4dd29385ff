interface Timer {
    readonly at: number;
    readonly resolve: () => void;
}

/** Simulated time in milliseconds for asynchronous code: time passes only while all of it waits. */
export class SimulatedClock {
    #timers: readonly Timer[] = [];
    now = 0;

    /** Creates a clock at time 0. */
    static create(): SimulatedClock {
        return new SimulatedClock();
    }

    /** Waits for a simulated time. */
    wait(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.#timers = [...this.#timers, { at: this.now + Math.max(0, ms), resolve }];
        });
    }

    /** Runs all timers up to a time in milliseconds, in their order. */
    async run(until: number): Promise<void> {
        for (;;) {
            await new Promise(resolve => setImmediate(resolve));
            const next = this.#timers.reduce<Timer | undefined>(
                (first, timer) => !first || timer.at < first.at ? timer : first,
                undefined,
            );
            if (!next || next.at > until) {
                this.now = until;
                return;
            }
            this.#timers = this.#timers.filter(timer => timer !== next);
            this.now = next.at;
            next.resolve();
        }
    }
}
