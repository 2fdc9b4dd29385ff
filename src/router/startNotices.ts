import type { StartNotice } from "../core/routing/startNotice.js";
import type { PeerReport } from "./peerReport.js";

type NoticeFields = Pick<PeerReport, "configurationVersion" | "startedMsAgo">;

interface StartNoticesOptions {
    /** Returns what this instance knows of its own version and start. */
    readonly getNotice: () => StartNotice;
    /** Records what a peer knows. Returns true if this instance has learned that not all have just started. */
    readonly onNotice: (ip: string, notice: StartNotice) => boolean;
}

/** After a peer has appeared, reports name the version in force, for peers that have just started. */
const TOLD_MS = 2000;
const NO_NOTICE: NoticeFields = {};

/** Fields of reports that tell instances that start which version their peers have. Times are monotonic milliseconds. */
export class StartNotices {
    readonly #options: StartNoticesOptions;
    #toldUntil = Number.NEGATIVE_INFINITY;

    private constructor(options: StartNoticesOptions) {
        this.#options = options;
    }

    /** Creates the notices of an instance that knows no peer. */
    static create(options: StartNoticesOptions): StartNotices {
        return new StartNotices(options);
    }

    /** Records that a peer has appeared, which may have just started. */
    recordNewPeer(now: number): void {
        this.#toldUntil = now + TOLD_MS;
    }

    /** Builds the fields of the next report; an instance that waits itself is silent about its version. */
    build(now: number): NoticeFields {
        const { version, startedMsAgo } = this.#options.getNotice();
        return now < this.#toldUntil || version === undefined
            ? { configurationVersion: version, startedMsAgo }
            : NO_NOTICE;
    }

    /**
     * Applies the report of a peer.
     *
     * @param isNew False if a newer report of the peer is known: only its version counts then.
     * @returns True if other peers have to learn that not all instances have just started.
     */
    receive(report: PeerReport, isNew: boolean): boolean {
        const { scope, sender, configurationVersion: version, startedMsAgo } = report;
        return scope === "instance" && (isNew || version !== undefined)
            && this.#options.onNotice(sender.ip, { version, startedMsAgo });
    }
}
