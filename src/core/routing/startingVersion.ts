interface StartingVersionOptions {
    /** Start of the process, in monotonic milliseconds. */
    readonly startedAt: number;
}

/** Without a word of a peer for this long after its start, an instance takes what it has read for current. */
const ALONE_MS = 800;
/** Other peers may know a newer version than the first one that was heard. */
const HEARING_MS = 300;
/** After this time, a version that peers have and that the store does not get back is not waited for any more. */
const MAX_WAIT_MS = 10_000;

/**
 * Decides whether an instance that has just started has read a configuration as new as those of its peers: a store that comes
 * back from an older copy shows one in which keys hold that were withdrawn. Times are monotonic milliseconds.
 */
export class StartingVersion {
    readonly #options: StartingVersionOptions;
    #heardAt: number | undefined;
    /** Newest version that a peer has in force. */
    #required = Number.NEGATIVE_INFINITY;
    #isReached = false;

    private constructor(options: StartingVersionOptions) {
        this.#options = options;
    }

    /** Creates the state of an instance that has heard of no peer. */
    static create(options: StartingVersionOptions): StartingVersion {
        return new StartingVersion(options);
    }

    /** Records the version that a peer has in force; a peer that has just started itself reports none. */
    recordPeer(version: number, now: number): void {
        this.#heardAt ??= now;
        this.#required = Math.max(this.#required, version);
    }

    /** Returns whether peers have had the time to say which version they have. */
    hasHeard(now: number): boolean {
        return this.#heardAt === undefined
            ? now - this.#options.startedAt >= ALONE_MS
            : now - this.#heardAt >= HEARING_MS;
    }

    /** Returns whether a version has reached what peers had when this instance started; once true, it stays true. */
    isReached(version: number, now: number): boolean {
        const isLate = now - this.#options.startedAt >= MAX_WAIT_MS;
        this.#isReached ||= isLate || (this.hasHeard(now) && version >= this.#required);
        return this.#isReached;
    }
}
