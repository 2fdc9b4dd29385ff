import { hashOrigin } from "../core/streams/hashOrigin.js";
import { hashRunKey } from "../core/streams/hashRunKey.js";
import { hashStreamKey } from "../core/streams/hashStreamKey.js";
import type { OriginCertainty } from "../core/streams/originCertainty.js";
import type { StreamOrigin } from "../core/streams/streamOrigin.js";
import type { StreamRecords } from "../core/streams/streamRecords.js";
import { getStreamPlace } from "./getStreamPlace.js";
import type { LogSink } from "./logSink.js";
import type { OriginPeers } from "./originPeers.js";
import type { TakenUpStream } from "./takenUpStream.js";

interface OriginSearchOptions {
    readonly certainty: OriginCertainty;
    readonly records: StreamRecords;
    readonly peers: OriginPeers;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

type OriginSource = "sole-version" | "own" | "held" | "listed-run" | "asked" | "asked-run" | "unknown";

/** Finds the version at which a stream began that a caller takes up: from certainty, from records, or from peers. */
export class OriginSearch {
    readonly #options: OriginSearchOptions;
    /** Until when streams may be taken up whose runs were listed; peers may have been told of others. */
    #runsUntil = Number.NEGATIVE_INFINITY;

    private constructor(options: OriginSearchOptions) {
        this.#options = options;
    }

    /** Creates a search in the state of an instance. */
    static create(options: OriginSearchOptions): OriginSearch {
        return new OriginSearch(options);
    }

    /** Records that a target of a service and version runs requests, as it says itself. */
    recordRuns(origin: StreamOrigin, requestIds: readonly string[], now: number): void {
        const { certainty, records } = this.#options;
        const expiresAt = now + certainty.getWindowMs(now);
        requestIds.forEach(id => records.keep(hashRunKey(id), hashOrigin(origin), expiresAt));
        if (requestIds.length > 0) {
            this.#runsUntil = expiresAt;
        }
    }

    /**
     * Finds where a stream began. Calls back at once if that is known here, and within 0.8 s otherwise.
     *
     * @param onFound Gets `undefined` if the origin is not known for certain.
     */
    find(stream: TakenUpStream, onFound: (origin: StreamOrigin | undefined) => void): void {
        const { certainty, records, getNow } = this.#options;
        const askedAt = getNow();
        const end = (origin: StreamOrigin | undefined, source: OriginSource): void => {
            const ms = Math.round(getNow() - askedAt);
            this.#options.log.write("stream-origin-resolved", {
                streamId: stream.streamId,
                ...origin,
                source: origin ? source : "unknown",
                ms,
            });
            onFound(origin);
        };
        const sole = certainty.findSoleOrigin(getStreamPlace(stream), askedAt);
        const { account, streamId } = stream;
        if (streamId === undefined) {
            end(sole, "sole-version");
            return;
        }
        const [key, runKey] = [hashStreamKey(account, streamId), hashRunKey(streamId)];
        const record = records.find(key, askedAt);
        const run = records.find(runKey, askedAt);
        const known = record ?? run;
        if (known) {
            const isRefuted = (sole !== undefined && hashOrigin(sole) !== known.origin)
                || (run !== undefined && run.origin !== known.origin);
            const origin = isRefuted ? undefined : this.#findOrigin(known.origin);
            end(origin, record?.source ?? "listed-run");
        }
        else if (sole) {
            end(sole, "sole-version");
        }
        else {
            this.#request(stream, key, digest => {
                if (digest === undefined && getNow() < this.#runsUntil) {
                    this.#request(stream, runKey, listed => end(this.#findOrigin(listed), "asked-run"));
                }
                else {
                    end(this.#findOrigin(digest), "asked");
                }
            });
        }
    }

    /** @param onAnswer Gets a digest, which is empty if a peer knows that the origin is not certain. */
    #request(stream: TakenUpStream, key: string, onAnswer: (digest: string | undefined) => void): void {
        const { certainty, records, peers, getNow } = this.#options;
        peers.request(key, getStreamPlace(stream), getNow(), answer => {
            if (answer) {
                const now = getNow();
                records.keep(key, answer, now + certainty.getWindowMs(now));
            }
            onAnswer(answer);
        });
    }

    #findOrigin(digest: string | undefined): StreamOrigin | undefined {
        return digest ? this.#options.certainty.findOrigin(digest) : undefined;
    }
}
