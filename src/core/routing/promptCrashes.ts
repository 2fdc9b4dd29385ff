import { listSharedParts } from "./listSharedParts.js";
import { OutcomeQueue } from "./outcomeQueue.js";
import type { PromptCrash } from "./promptCrash.js";
import type { PromptOutcome } from "./promptOutcome.js";
import type { PromptPart } from "./promptPart.js";

interface PromptCrashesOptions {
    /** Called when the requests with a part begin to be refused, or are accepted again. */
    readonly onBlockedChanged: (partId: string, isBlocked: boolean) => void;
}

/** Crashes one after another, without a complete response in between, after which requests with a part are refused. */
const CRASHES_TO_BLOCK = 3;
/** A part counts as harmless again this long after its last crash. */
const RETENTION_MS = 600_000;
const MAX_PARTS = 5000;
/** Error of times that a peer reports: the way of the report, and the delay until it is read. */
const REPORT_DELAY_MS = 100;

/**
 * Finds prompt parts on which targets crash, from crashes seen by all instances.
 *
 * @remarks A crash breaks all responses of a target, most of them to harmless requests. Their parts are told apart by
 * complete responses, which a crashing part never has, and by counting only crashes of requests sent after the previous
 * crash, so that targets that fail together count once. While a prompt has parts without any complete response, its
 * other parts are not suspected.
 */
export class PromptCrashes {
    readonly #options: PromptCrashesOptions;
    /** Newest crashes since the last complete response, in order of time. */
    readonly #crashes = new Map<string, readonly PromptCrash[]>();
    /** Monotonic time in milliseconds of the last complete response to each part. */
    readonly #succeededAt = new Map<string, number>();
    readonly #blocked = new Set<string>();
    readonly #toPeers = OutcomeQueue.create();
    readonly #toRemote = OutcomeQueue.create();
    readonly #toDataCentre = OutcomeQueue.create();

    private constructor(options: PromptCrashesOptions) {
        this.#options = options;
    }

    /** Creates a record without crashes. */
    static create(options: PromptCrashesOptions): PromptCrashes {
        return new PromptCrashes(options);
    }

    /** Number of parts whose requests are refused. */
    get blockedCount(): number {
        return this.#blocked.size;
    }

    /** Returns the monotonic time in milliseconds until which a prompt is refused; `undefined` if it is not. */
    findBlockedUntil(prompt: readonly PromptPart[], now: number): number | undefined {
        if (this.#blocked.size === 0) {
            return undefined;
        }
        const ends = listSharedParts(prompt)
            .filter(id => this.#blocked.has(id))
            .map(id => (this.#crashes.get(id)?.at(-1)?.endedAt ?? 0) + RETENTION_MS)
            .filter(until => until > now);
        return ends.length > 0 ? Math.max(...ends) : undefined;
    }

    /** Returns whether one more crash would block a prompt, so that its request is not worth another target. */
    isSuspect(prompt: readonly PromptPart[]): boolean {
        return listSharedParts(prompt).some(id =>
            (this.#crashes.get(id)?.length ?? 0) >= CRASHES_TO_BLOCK - 1
        );
    }

    /** Records a crash of a target that was serving a request with these parts. */
    recordCrash(partIds: readonly string[], crash: PromptCrash, now: number): void {
        this.#evictExpired(now);
        const unproven = partIds.filter(partId => !this.#succeededAt.has(partId));
        for (const partId of unproven.length > 0 ? unproven : partIds) {
            if (this.#addCrash(partId, crash, 0)) {
                this.#enqueue({ partId, outcome: "crash", ...crash }, true);
            }
        }
    }

    /** Records a complete response to a request with these parts, which shows that they crash no target. */
    recordSuccess(partIds: readonly string[], sentAt: number, now: number): void {
        this.#evictExpired(now);
        for (const partId of partIds) {
            this.#renewSuccess(partId, now);
            if (this.#clear(partId, now)) {
                this.#enqueue({ partId, outcome: "success", sentAt, endedAt: now }, true);
            }
        }
    }

    /** Adopts outcomes reported by a peer; those of the local data centre are also reported to remote ones. */
    adopt(outcomes: readonly PromptOutcome[], isLocal: boolean, now: number): void {
        this.#evictExpired(now);
        for (const [partId, outcome, sentAgeMs, endedAgeMs] of outcomes) {
            const crash = { sentAt: now - sentAgeMs, endedAt: now - endedAgeMs };
            const isNew = outcome === "success"
                ? this.#clear(partId, crash.endedAt)
                : this.#addCrash(partId, crash, REPORT_DELAY_MS);
            if (isNew && isLocal) {
                this.#enqueue({ partId, outcome, ...crash }, false);
            }
        }
    }

    /** Takes the outcomes for the next report to peers in the data centre. */
    takePending(now: number): readonly PromptOutcome[] | undefined {
        return this.#toPeers.take(now, () => this.#listBlocking());
    }

    /** Takes the outcomes for the next summary for remote data centres. */
    takeSummary(now: number): readonly PromptOutcome[] | undefined {
        return this.#toRemote.take(now, () => this.#listBlocking());
    }

    /** Takes the outcomes for the next summary for all instances of the data centre. */
    takeLocalSummary(now: number): readonly PromptOutcome[] | undefined {
        return this.#toDataCentre.take(now, () => this.#listBlocking());
    }

    /** Returns whether the crash is a new one: no request of a known crash was being served at the same time. */
    #addCrash(partId: string, crash: PromptCrash, clockErrorMs: number): boolean {
        const known = this.#crashes.get(partId) ?? [];
        const isKnown = known.some(other =>
            crash.sentAt < other.endedAt + clockErrorMs && other.sentAt < crash.endedAt + clockErrorMs
        );
        if (isKnown || crash.endedAt <= (this.#succeededAt.get(partId) ?? Number.NEGATIVE_INFINITY)) {
            return false;
        }
        const newest = [...known, crash].sort((a, b) => a.endedAt - b.endedAt).slice(-CRASHES_TO_BLOCK);
        // Keeps the parts in order of their newest crash, in which they expire.
        this.#crashes.delete(partId);
        this.#crashes.set(partId, newest);
        if (newest.length === CRASHES_TO_BLOCK && !this.#blocked.has(partId)) {
            this.#blocked.add(partId);
            this.#options.onBlockedChanged(partId, true);
        }
        return newest.includes(crash);
    }

    /** Drops the crashes of a part until a moment; returns whether there were any. */
    #clear(partId: string, at: number): boolean {
        const known = this.#crashes.get(partId);
        const newer = known?.filter(crash => crash.endedAt > at) ?? [];
        if (!known || newer.length === known.length) {
            return false;
        }
        this.#renewSuccess(partId, at);
        this.#replace(partId, newer);
        return true;
    }

    /** Keeps the parts in order of their last response, in which they expire. */
    #renewSuccess(partId: string, at: number): void {
        const last = this.#succeededAt.get(partId) ?? at;
        this.#succeededAt.delete(partId);
        this.#succeededAt.set(partId, Math.max(last, at));
    }

    #replace(partId: string, crashes: readonly PromptCrash[]): void {
        if (crashes.length > 0) {
            this.#crashes.set(partId, crashes);
        }
        else {
            this.#crashes.delete(partId);
        }
        if (crashes.length < CRASHES_TO_BLOCK && this.#blocked.delete(partId)) {
            this.#options.onBlockedChanged(partId, false);
        }
    }

    #enqueue(outcome: Parameters<OutcomeQueue["add"]>[0], isOwn: boolean): void {
        if (isOwn) {
            this.#toPeers.add(outcome);
        }
        this.#toRemote.add(outcome);
        this.#toDataCentre.add(outcome);
    }

    #listBlocking(): readonly Parameters<OutcomeQueue["add"]>[0][] {
        return [...this.#blocked].flatMap(partId =>
            (this.#crashes.get(partId) ?? []).map(crash => ({ partId, outcome: "crash" as const, ...crash }))
        );
    }

    #evictExpired(now: number): void {
        for (const [partId, crashes] of this.#crashes) {
            const isExpired = (crashes.at(-1)?.endedAt ?? 0) + RETENTION_MS <= now;
            if (!isExpired && this.#crashes.size <= MAX_PARTS) {
                break;
            }
            this.#replace(partId, []);
        }
        for (const [partId, succeededAt] of this.#succeededAt) {
            if (succeededAt + RETENTION_MS > now && this.#succeededAt.size <= MAX_PARTS) {
                break;
            }
            this.#succeededAt.delete(partId);
        }
    }
}
