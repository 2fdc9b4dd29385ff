import { setTimeout as wait } from "node:timers/promises";
import type { PlatformClient } from "../../adapters/platform/platformClient.js";
import { PlatformError } from "../../adapters/platform/platformError.js";
import type { PlatformValueName } from "../../adapters/platform/platformValueName.js";

interface PlatformWatcherOptions {
    readonly platform: PlatformClient;
    readonly name: PlatformValueName;
    /** Longest duration of one long poll in milliseconds. */
    readonly watchMs: number;
    /** True while this daemon has to watch the platform. */
    readonly isNeeded: () => boolean;
    /** Revision in force. */
    readonly getRevision: () => number;
    /** Handles a value and returns its revision; `undefined` if the value has none. */
    readonly onValue: (value: unknown) => number | undefined;
    /** Called before each long poll. */
    readonly onCall: () => void;
    readonly onFailure: (error: unknown) => void;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    readonly signal: AbortSignal;
}

const IDLE_CHECK_INTERVAL_MS = 200;
/** Prevents a tight loop of calls to a platform that responds at once. */
const MIN_CALL_INTERVAL_MS = 50;
/**
 * A platform that reverted to an older revision responds to every watch at once, with a value of up to 1 MB. The
 * delay before the next watch is one to two times this interval, which leaves time to propagate a change within 4 s.
 */
const OLDER_VALUE_INTERVAL_MS = 500;
const BASE_RETRY_DELAY_MS = 200;
/** With 1,100 daemons, two values and full jitter this results in 1,500 calls/s while the platform is down. */
const MAX_RETRY_DELAY_MS = 3000;

/** Watches one value of the platform with long polls, in the periods in which this daemon has to. */
export class PlatformWatcher {
    readonly #options: PlatformWatcherOptions;
    #highestSeenRevision = -1;
    #consecutiveFailures = 0;

    private constructor(options: PlatformWatcherOptions) {
        this.#options = options;
    }

    /** Creates a watcher; `run` starts it. */
    static create(options: PlatformWatcherOptions): PlatformWatcher {
        return new PlatformWatcher(options);
    }

    /** Watches until the signal aborts. */
    async run(): Promise<void> {
        const { signal } = this.#options;
        while (!signal.aborted) {
            const delayMs = this.#options.isNeeded() ? await this.#poll() : IDLE_CHECK_INTERVAL_MS;
            await wait(delayMs, undefined, { signal }).catch(() => undefined);
        }
    }

    async #poll(): Promise<number> {
        const { platform, name, watchMs, signal } = this.#options;
        try {
            this.#options.onCall();
            // A rejected value is not in force, but must not be sent again at each watch.
            const knownRevision = Math.max(this.#highestSeenRevision, this.#options.getRevision());
            const value = await platform.watch(name, knownRevision, watchMs, signal);
            const revision = value === undefined ? undefined : this.#handleValue(value);
            this.#consecutiveFailures = 0;
            return revision === undefined || revision > knownRevision
                ? MIN_CALL_INTERVAL_MS
                : OLDER_VALUE_INTERVAL_MS * (1 + this.#options.getRandom());
        }
        catch (error) {
            if (!signal.aborted) {
                this.#options.onFailure(error);
            }
            this.#consecutiveFailures += 1;
            const maxDelayMs = Math.min(
                MAX_RETRY_DELAY_MS,
                BASE_RETRY_DELAY_MS * 2 ** Math.min(this.#consecutiveFailures, 10),
            );
            return MIN_CALL_INTERVAL_MS + this.#options.getRandom() * maxDelayMs;
        }
    }

    #handleValue(value: unknown): number {
        const revision = this.#options.onValue(value);
        if (revision === undefined) {
            throw PlatformError.create(this.#options.name, "the value has no revision");
        }
        this.#highestSeenRevision = Math.max(this.#highestSeenRevision, revision);
        return revision;
    }
}
