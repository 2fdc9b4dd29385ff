import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { hashOrigin } from "../core/streams/hashOrigin.js";
import { hashStreamKey } from "../core/streams/hashStreamKey.js";
import { OriginCertainty } from "../core/streams/originCertainty.js";
import type { StreamOrigin } from "../core/streams/streamOrigin.js";
import { StreamRecords } from "../core/streams/streamRecords.js";
import { getStreamPlace } from "./getStreamPlace.js";
import type { LogSink } from "./logSink.js";
import { NewVersionNotices } from "./newVersionNotices.js";
import type { OriginMessage } from "./originMessage.js";
import { OriginPeers } from "./originPeers.js";
import { OriginSearch } from "./originSearch.js";
import { parseOriginMessage } from "./parseOriginMessage.js";
import type { RouterSettings } from "./routerSettings.js";
import type { TakenUpStream } from "./takenUpStream.js";

interface StreamOriginsOptions {
    readonly settings: Pick<RouterSettings, "instance" | "maxChangeDelayMs">;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly MemberRecord[];
    readonly send: (message: OriginMessage, host: string) => void;
}

/** A list read by long polls is up to 2.4 s old, and twice the way to the store; the shortest bound for a change is 2.5 s. */
const READ_MARGIN_MS = 500;
/** Length of the keys that `hashStreamKey` returns. */
const KEY_CHARACTERS = 11;

/** Finds the version at which a stream began that a caller takes up, whichever instance it began at. */
export class StreamOrigins {
    readonly #options: StreamOriginsOptions;
    readonly #certainty: OriginCertainty;
    readonly #records = StreamRecords.create();
    readonly #peers: OriginPeers;
    readonly #search: OriginSearch;
    readonly #notices: NewVersionNotices;
    readonly #wasCertain = new Map<string, boolean>();

    private constructor(options: StreamOriginsOptions) {
        this.#options = options;
        const maxDelayMs = options.settings.maxChangeDelayMs + READ_MARGIN_MS;
        this.#certainty = OriginCertainty.create(maxDelayMs);
        this.#peers = OriginPeers.create({ ...options, instance: options.settings.instance });
        this.#search = OriginSearch.create({
            ...options,
            certainty: this.#certainty,
            records: this.#records,
            peers: this.#peers,
        });
        this.#notices = NewVersionNotices.create({
            ...options,
            instance: options.settings.instance,
            maxDelayMs,
            startedAt: options.getNow(),
        });
    }

    /** Creates a state that knows no stream. */
    static create(options: StreamOriginsOptions): StreamOrigins {
        return new StreamOrigins(options);
    }

    /** Services at which streams begin that may be taken up. */
    get services(): readonly string[] {
        return this.#certainty.services;
    }

    /** Records the complete list of targets. */
    observeTargets(targets: readonly TargetDescriptor[], now: number): void {
        const doubtful = this.#records.begun.observeTargets(targets, this.#certainty.confirmedAt, now);
        this.#certainty.observeTargets(targets, now);
        for (const [key, record] of doubtful) {
            this.#options.log.write("stream-origin-doubtful", { key });
            this.#peers.sendRecord(key, record, "flush", now);
            this.#records.begun.markShared(key, now);
        }
    }

    /** Records the configuration in force. */
    observeConfiguration(configuration: RouterConfiguration, now: number): void {
        if (!this.#certainty.observeConfiguration(configuration, now)) {
            return;
        }
        const doubtful = this.#records.begun.takeUnshared(
            ({ place, service }) => !this.#certainty.isCertain(place, service, now),
            now,
        );
        this.#options.log.write("stream-routes-changed", { doubtful: doubtful.length });
        this.#sendRecords(doubtful, now);
    }

    /** Records when the list of targets was confirmed as the newest, in monotonic milliseconds. */
    recordConfirmation(at: number): void {
        this.#certainty.recordConfirmation(at, this.#options.getNow());
    }

    /**
     * Returns whether a new stream of a resumable route may begin at a target.
     *
     * @param isExplaining True if peers are not to be told of a version that they do not know.
     */
    mayBegin({ service, version }: TargetDescriptor, now: number, isExplaining = false): boolean {
        const standing = this.#certainty.findStanding(service, version, now);
        if (standing !== "alone") {
            return standing === "established";
        }
        return isExplaining
            ? this.#notices.mayBeKnown(service, version ?? null, now)
            : this.#notices.notify(service, version ?? null, now);
    }

    /**
     * Records that the first event of a stream of a resumable route is about to be passed on.
     *
     * @param begun The stream and the target that brought the event.
     */
    recordBegun(
        begun: TakenUpStream & { readonly streamId: string; readonly target: TargetDescriptor; },
        now: number,
    ): void {
        const { account, streamId, target } = begun;
        const key = hashStreamKey(account, streamId);
        const place = getStreamPlace(begun);
        const expiresAt = now + this.#certainty.getWindowMs(now);
        const record = this.#records.begun.add(key, place, target, now, expiresAt);
        if (!this.#certainty.isCertain(place, target.service, now)) {
            this.#peers.sendRecord(key, record, "now", now);
            this.#records.begun.markShared(key, now);
        }
    }

    /** Returns whether the origin of a stream that began here is still certain: its target may have started again meanwhile. */
    isKnown({ account, streamId }: Pick<TakenUpStream, "account"> & { readonly streamId: string; }): boolean {
        const record = this.#records.begun.find(hashStreamKey(account, streamId), this.#options.getNow());
        return record?.origin !== undefined;
    }

    /** Records that a target of a service and version runs requests, as it says itself. */
    recordRuns(origin: StreamOrigin, requestIds: readonly string[], now: number): void {
        this.#search.recordRuns(origin, requestIds, now);
    }

    /**
     * Finds where a stream that a caller takes up began. Calls back at once if that is known here, and within 0.8 s
     * otherwise.
     *
     * @param onFound Gets `undefined` if the origin is not known for certain.
     */
    find(stream: TakenUpStream, onFound: (origin: StreamOrigin | undefined) => void): void {
        this.#search.find(stream, onFound);
    }

    /** Handles a datagram of a peer. Returns false if it does not belong to this exchange. */
    receive(message: unknown, senderHost: string): boolean {
        if (!Array.isArray(message)) {
            return false;
        }
        const parsed = parseOriginMessage(message);
        if (parsed) {
            this.#apply(parsed, senderHost, this.#options.getNow());
        }
        else {
            this.#options.log.write("peer-report-invalid", { from: senderHost });
        }
        return true;
    }

    /** Sends what is due and answers questions whose time is over. */
    flush(now: number): void {
        const { services } = this.#certainty;
        for (const service of new Set([...services, ...this.#wasCertain.keys()])) {
            this.#updateCertainty(service, now);
        }
        if (this.#certainty.isHistoryNeeded(now)) {
            this.#peers.requestHistory(now);
        }
        this.#peers.flush(now);
        this.#notices.flush(now);
        this.#records.expire(now);
    }

    #updateCertainty(service: string, now: number): void {
        const inputs = this.#certainty.describe(service, now);
        if (inputs.isCertain === this.#wasCertain.get(service)) {
            return;
        }
        this.#wasCertain.set(service, inputs.isCertain);
        this.#options.log.write("stream-origins-changed", { service, ...inputs });
        if (!inputs.isCertain) {
            const isOfService = (stream: { readonly service: string; }): boolean =>
                stream.service === service;
            this.#sendRecords(this.#records.begun.takeUnshared(isOfService, now), now);
        }
        else if (!this.#certainty.services.includes(service)) {
            this.#wasCertain.delete(service);
        }
    }

    #sendRecords(records: ReturnType<StreamRecords["begun"]["takeUnshared"]>, now: number): void {
        records.forEach(([key, record]) => this.#peers.sendRecord(key, record, "flush", now));
    }

    #apply(message: OriginMessage, host: string, now: number): void {
        switch (message[0]) {
            case "records": {
                const [, ...records] = message;
                for (const record of records) {
                    const [key, origin] = [record.slice(0, KEY_CHARACTERS), record.slice(KEY_CHARACTERS)];
                    this.#records.keep(key, origin || undefined, now + this.#certainty.getWindowMs(now));
                }
                return;
            }
            case "question":
                this.#reply(message, host, now);
                return;
            case "answer": {
                const [, number, key, origin] = message;
                this.#peers.applyAnswer(number, key, host, origin);
                return;
            }
            case "history-request":
                this.#peers.replyHistory(message[1], this.#certainty.buildHistory(now), host);
                return;
            case "history":
                this.#certainty.joinHistory(message[2], Math.min(message[1], now), now);
                return;
            case "new-version":
                this.#certainty.addVersion(message[1], message[2] ?? undefined, now);
                this.#notices.accept(message[1], message[2], host, now);
                return;
            case "version-confirmed":
                this.#notices.recordConfirmed(message[1], message[2], host);
                return;
            case "version-known":
                this.#notices.recordKnown(message[1], message[2], now);
        }
    }

    #reply(
        question: Extract<OriginMessage, readonly ["question", ...unknown[]]>,
        senderHost: string,
        now: number,
    ): void {
        const [, number, key, host, path, position] = question;
        const record = this.#records.find(key, now);
        const sole = this.#certainty.findSoleOrigin({ host, path, position: position ?? undefined }, now);
        const origin = record ? record.origin ?? "" : sole ? hashOrigin(sole) : null;
        this.#options.send(["answer", number, key, origin], senderHost);
    }
}
