import type { StartNotice } from "./startNotice.js";

interface StartingVersionOptions {
    /** Start of the process, in monotonic milliseconds. */
    readonly startedAt: number;
    /** IP addresses of the peers that may know a newer version: the seeds and the live members. */
    readonly listPeers: () => readonly string[];
}

/**
 * Why an instance accepts what it has read: all its peers have just started, too; a peer was heard; none was; it has waited
 * long enough.
 */
type EndReason = "peers-started" | "peer-heard" | "no-peer" | "timeout";

/** Without a word of a peer for this long after its start, an instance takes what it has read for current. */
const ALONE_MS = 800;
/**
 * Other peers may know a newer version than those that were heard first. An instance that runs reports to the others of
 * its data centre, and to seeds that it has lost lately, every 150 ms.
 */
const HEARING_MS = 300;
/** After this time, a version that peers have and that the store does not get back is not waited for any more. */
const MAX_WAIT_MS = 10_000;

/**
 * Decides whether an instance that has just started has read a configuration as new as those of its peers: a store that comes
 * back from an older copy shows one in which keys hold that were withdrawn. Instances that start together tell each other so,
 * because none of them can know a newer version. Times are monotonic milliseconds.
 */
export class StartingVersion {
    readonly #options: StartingVersionOptions;
    #heardAt: number | undefined;
    /** Newest version that a peer has in force. */
    #required = Number.NEGATIVE_INFINITY;
    /** Start of each peer, by IP address, whose last word was that it has just started, too. */
    readonly #starts = new Map<string, number>();
    #hasOlderPeer = false;
    #endReason: EndReason | undefined;

    private constructor(options: StartingVersionOptions) {
        this.#options = options;
    }

    /** Creates the state of an instance that has heard of no peer. */
    static create(options: StartingVersionOptions): StartingVersion {
        return new StartingVersion(options);
    }

    /** Records what a peer has reported about its version and its start. */
    recordPeer(ip: string, { version, startedMsAgo }: StartNotice, now: number): void {
        if (version !== undefined) {
            this.#heardAt ??= now;
            this.#required = Math.max(this.#required, version);
        }
        if (startedMsAgo === undefined) {
            this.#starts.delete(ip);
            this.#hasOlderPeer ||= version !== undefined;
        }
        else {
            this.#starts.set(ip, now - startedMsAgo);
        }
    }

    /** True once a peer has named a version that has not just started itself. */
    get hasOlderPeer(): boolean {
        return this.#hasOlderPeer;
    }

    /**
     * Returns for how long this instance has been listening, in milliseconds, for peers that start; `undefined` once it may
     * know a newer version than an instance that has just started.
     */
    getStartedMsAgo(now: number): number | undefined {
        const startedMsAgo = Math.round(now - this.#options.startedAt);
        return this.#hasOlderPeer || startedMsAgo >= MAX_WAIT_MS ? undefined : startedMsAgo;
    }

    /** Why the wait has ended; `undefined` while it lasts. */
    get endReason(): EndReason | undefined {
        return this.#endReason;
    }

    /** Returns whether peers have had the time to say which version they have. */
    hasHeard(now: number): boolean {
        return (this.#endReason ?? this.#findReason(now)) !== undefined;
    }

    /** Returns whether a version has reached what peers had when this instance started; once true, it stays true. */
    isReached(version: number, now: number): boolean {
        if (this.#endReason === undefined) {
            const reason = this.#findReason(now);
            this.#endReason = reason === "timeout" || version >= this.#required ? reason : undefined;
        }
        return this.#endReason !== undefined;
    }

    #findReason(now: number): EndReason | undefined {
        const startedMsAgo = now - this.#options.startedAt;
        if (startedMsAgo >= MAX_WAIT_MS) {
            return "timeout";
        }
        if (this.#hasOnlyStartedPeers(now)) {
            return "peers-started";
        }
        if (this.#heardAt !== undefined) {
            return now - this.#heardAt >= HEARING_MS ? "peer-heard" : undefined;
        }
        return startedMsAgo >= ALONE_MS ? "no-peer" : undefined;
    }

    /** Returns whether all peers have just started, and each has listened long enough to hear of one that has not. */
    #hasOnlyStartedPeers(now: number): boolean {
        if (now - this.#options.startedAt < HEARING_MS) {
            return false;
        }
        const peers = this.#options.listPeers();
        return peers.length > 0 && peers.every(ip => {
            const startedAt = this.#starts.get(ip);
            return startedAt !== undefined && now - startedAt >= HEARING_MS;
        });
    }
}
