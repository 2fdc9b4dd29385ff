import { setTimeout as wait } from "node:timers/promises";
import type { PlatformClient } from "../../adapters/platform/platformClient.js";
import { PlatformError } from "../../adapters/platform/platformError.js";
import type { PlatformValueName } from "../../adapters/platform/platformValueName.js";

interface PlatformWatcherOptions {
    readonly platform: PlatformClient;
    readonly name: PlatformValueName;
    /** Longest wait of one call in milliseconds. */
    readonly watchMs: number;
    /** True while this daemon is to watch the platform. */
    readonly isNeeded: () => boolean;
    /** Revision in force. */
    readonly getRevision: () => number;
    /** Takes a value and returns its revision; `undefined` if the value has none. */
    readonly onValue: (value: unknown) => number | undefined;
    /** Told before each call. */
    readonly onCall: () => void;
    readonly onFailure: (error: unknown) => void;
    /** Random number from 0 to 1. */
    readonly getRandom: () => number;
    readonly signal: AbortSignal;
}

const IDLE_CHECK_MS = 200;
/** Keeps a platform that answers at once from being called in a tight loop. */
const MIN_CALL_INTERVAL_MS = 50;
/**
 * A platform that went back answers every watch at once with an older value of up to 1 MB. The wait until the
 * next watch is one to two times this, which leaves time to pass a change on within 4 s.
 */
const OLDER_VALUE_INTERVAL_MS = 500;
const FIRST_RETRY_MS = 200;
/** With 1,100 daemons, two values and full jitter this makes 1,500 calls/s while the platform is down. */
const MAX_RETRY_MS = 3000;

/** Watches one value of the platform with long polls as long as this daemon is to do so. */
export class PlatformWatcher {
    readonly #options: PlatformWatcherOptions;
    #seenRevision = -1;
    #failures = 0;

    private constructor(options: PlatformWatcherOptions) {
        this.#options = options;
    }

    /** Creates a watcher; `run` starts it. */
    static create(options: PlatformWatcherOptions): PlatformWatcher {
        return new PlatformWatcher(options);
    }

    /** Watches until the signal is aborted. */
    async run(): Promise<void> {
        const { signal } = this.#options;
        while (!signal.aborted) {
            const delayMs = this.#options.isNeeded() ? await this.#poll() : IDLE_CHECK_MS;
            await wait(delayMs, undefined, { signal }).catch(() => undefined);
        }
    }

    async #poll(): Promise<number> {
        const { platform, name, watchMs, signal } = this.#options;
        try {
            this.#options.onCall();
            // A rejected value is not in force, but must not be sent again and again.
            const after = Math.max(this.#seenRevision, this.#options.getRevision());
            const value = await platform.watch(name, after, watchMs, signal);
            const revision = value === undefined ? undefined : this.#take(value);
            this.#failures = 0;
            return revision === undefined || revision > after
                ? MIN_CALL_INTERVAL_MS
                : OLDER_VALUE_INTERVAL_MS * (1 + this.#options.getRandom());
        }
        catch (error) {
            if (!signal.aborted) {
                this.#options.onFailure(error);
            }
            this.#failures += 1;
            const longest = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(this.#failures, 10));
            return MIN_CALL_INTERVAL_MS + this.#options.getRandom() * longest;
        }
    }

    #take(value: unknown): number {
        const revision = this.#options.onValue(value);
        if (revision === undefined) {
            throw PlatformError.create(this.#options.name, "the value has no revision");
        }
        this.#seenRevision = Math.max(this.#seenRevision, revision);
        return revision;
    }
}
