import type { MemberRecord } from "../core/routing/memberRecord.js";
import { MemberRanking } from "../core/streams/memberRanking.js";
import type { OriginRecord } from "../core/streams/originRecord.js";
import type { StreamPlace } from "../core/streams/streamPlace.js";
import type { ToldHistory } from "../core/streams/toldHistory.js";
import type { OriginMessage } from "./originMessage.js";
import { OriginOutbox } from "./originOutbox.js";
import { OriginQuestions } from "./originQuestions.js";

interface OriginPeersOptions {
    readonly instance: string;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly MemberRecord[];
    readonly send: (message: OriginMessage, host: string) => void;
}

/** Members change seldom, and the ranking is needed for each stream. */
const RANKING_LIFETIME_MS = 100;
const HISTORY_INTERVAL_MS = 1000;
const HISTORY_PEERS = 2;
const MAX_HISTORY_LENGTH = 1100;
const MAX_PATH_LENGTH = 500;

/** Exchanges records of streams with the instances that hold them. Times are monotonic milliseconds. */
export class OriginPeers {
    readonly #options: OriginPeersOptions;
    readonly #outbox: OriginOutbox;
    readonly #questions = OriginQuestions.create();
    readonly #ranking: MemberRanking;
    #rankingUntil = Number.NEGATIVE_INFINITY;
    #nextHistoryAt = Number.NEGATIVE_INFINITY;

    private constructor(options: OriginPeersOptions) {
        this.#options = options;
        this.#outbox = OriginOutbox.create(options.send);
        this.#ranking = MemberRanking.create(options.instance);
    }

    /** Creates a state in which nothing is sent. */
    static create(options: OriginPeersOptions): OriginPeers {
        return new OriginPeers(options);
    }

    /** Sends a record to its holders: at once, since this instance may end at any time, or with others at the next flush. */
    sendRecord(key: string, { origin }: OriginRecord, when: "now" | "flush", now: number): void {
        const record = `${key}${origin ?? ""}`;
        for (const { ip } of this.#getRanking(now).pickHolders(key)) {
            if (when === "flush") {
                this.#outbox.add(ip, record);
            }
            else {
                this.#options.send(["records", record], ip);
            }
        }
    }

    /**
     * Asks the instances that may hold the record of a stream.
     *
     * @param onAnswer Gets the digest of the origin, empty if it is not known for certain; `undefined` without a record.
     */
    request(
        key: string,
        { host: routeHost, path, position }: StreamPlace,
        now: number,
        onAnswer: (origin: string | undefined) => void,
    ): void {
        const hosts = this.#getRanking(now).listAsked(key).map(({ ip }) => ip);
        const number = this.#questions.add(key, hosts, now, onAnswer);
        if (number !== undefined) {
            // A path that is too long for a datagram matches no route at the peer, which then looks at its records only.
            const sentPath = path.slice(0, MAX_PATH_LENGTH) === path ? path : "";
            hosts.forEach(host =>
                this.#options.send(["question", number, key, routeHost, sentPath, position ?? null], host)
            );
        }
    }

    /** Applies the answer of a peer. */
    applyAnswer(number: number, key: string, host: string, origin: string | null): void {
        this.#questions.apply(number, key, host, origin);
    }

    /** Asks peers for the versions that were listed before this instance started, if it is time to. */
    requestHistory(now: number): void {
        if (now < this.#nextHistoryAt) {
            return;
        }
        this.#nextHistoryAt = now + HISTORY_INTERVAL_MS;
        const peers = this.#getRanking(now).listAsked(`history ${Math.floor(now)}`).slice(0, HISTORY_PEERS);
        peers.forEach(({ ip }) => this.#options.send(["history-request", now], ip));
    }

    /** Tells a peer that has asked for it which versions were listed, unless this instance does not know enough. */
    replyHistory(askedAt: number, history: ToldHistory | undefined, host: string): void {
        // A longer datagram would be divided on its way; without an answer the peer waits until its own history is long.
        if (history && JSON.stringify(history).length <= MAX_HISTORY_LENGTH) {
            this.#options.send(["history", askedAt, history], host);
        }
    }

    /** Sends what is due and ends the questions whose time is over. */
    flush(now: number): void {
        this.#outbox.flush();
        this.#questions.expire(now);
    }

    #getRanking(now: number): MemberRanking {
        if (now >= this.#rankingUntil) {
            this.#ranking.setMembers(this.#options.listMembers());
            this.#rankingUntil = now + RANKING_LIFETIME_MS;
        }
        return this.#ranking;
    }
}
