import { computeTrialAt } from "./computeTrialAt.js";
import { countCrashes } from "./countCrashes.js";
import type { CrashOutcome } from "./crashOutcome.js";
import { CrashReports } from "./crashReports.js";
import { listSharedParts } from "./listSharedParts.js";
import { RequestFingerprint } from "./requestFingerprint.js";
import type { RoutedRequest } from "./routedRequest.js";
import { ScopeCounter } from "./scopeCounter.js";
import { SuccessRecord } from "./successRecord.js";
import type { TargetCrash } from "./targetCrash.js";

type CrashSubject = Pick<RoutedRequest, "prompt" | "fingerprint">;

interface CrashRecordOptions {
    /** Called when the requests with a key begin to be refused, or are accepted again. */
    readonly onBlockedChanged: (key: string, isBlocked: boolean) => void;
    /** Delay in milliseconds by which this instance tries a refused request later than the first one does. */
    readonly getTrialDelayMs: (key: string) => number;
}

/** Crashes without a complete response in between, after which requests with a key are refused. */
const CRASHES_TO_BLOCK = 3;
/** Newest crashes that are kept of each key. */
const MAX_CRASHES = 12;
/** Crashes of one target within this time are one crash, seen by several requests or instances. */
const SAME_CRASH_MS = 1000;
/** Time after its last crash, or after its next trial, in which a key is remembered. */
const RETENTION_MS = 600_000;
const MAX_KEYS = 5000;
const EVICTION_INTERVAL_MS = 1000;
/** Time for the outcome of a trial to become known, before which the instance makes no other one. */
const TRIAL_OUTCOME_MS = 5000;
/** Error of times that a peer reports: the way of the report, and the delay until it is read. */
const REPORT_DELAY_MS = 100;
/** Crashes are reported again for this long, for instances that have missed them. */
const REPEATED_FOR_MS = 5000;

/**
 * Finds requests that crash their targets, from crashes seen by all instances. Each request has several keys: the shared
 * parts of its prompt, and the fingerprint of the whole request.
 *
 * @remarks A crash breaks all responses of a target, most of them to harmless requests. Keys are told apart by complete
 * responses, which a crashing key never has. Targets that fail together count once for prompt parts and for requests with
 * a complete response, which are being served at many targets at any time, and each by itself for other requests, which
 * are only at the targets that their copies have reached. While a prompt has parts without any complete response, its other
 * parts are not suspected. Refused requests are tried again, at ever longer intervals and by one instance after another.
 */
export class CrashRecord {
    readonly #options: CrashRecordOptions;
    /** Newest crashes since the last complete response, in order of `endedAt`. */
    readonly #crashes = new Map<string, readonly TargetCrash[]>();
    readonly #successes = SuccessRecord.create();
    /** Monotonic time in milliseconds from which this instance may try a refused request again, by key. */
    readonly #blocked = new Map<string, number>();
    /** Scopes of the whole requests with crashes. */
    readonly #scopes = ScopeCounter.create();
    readonly #reports = CrashReports.create();
    #nextEvictionAt = 0;

    private constructor(options: CrashRecordOptions) {
        this.#options = options;
    }

    /** Creates a record without crashes. */
    static create(options: CrashRecordOptions): CrashRecord {
        return new CrashRecord(options);
    }

    /** Returns the number of refused prompt parts, or of refused requests. */
    countBlocked(kind: "part" | "request"): number {
        const isCounted = (key: string): boolean =>
            RequestFingerprint.isRequestKey(key) === (kind === "request");
        return [...this.#blocked.keys()].filter(isCounted).length;
    }

    /** Returns why a request is refused, and the monotonic time in milliseconds until then; `undefined` if it is not. */
    findRefusal(
        subject: CrashSubject,
        now: number,
    ): { readonly reason: "crashing-prompt" | "crashing-request"; readonly until: number; } | undefined {
        if (this.#blocked.size === 0) {
            return undefined;
        }
        const refusals = this.#listSuspected(subject)
            .map(key => ({ key, until: this.#blocked.get(key) ?? now }))
            .filter(({ until }) => until > now)
            .sort((a, b) => b.until - a.until);
        const [latest] = refusals;
        const reason = latest && RequestFingerprint.isRequestKey(latest.key)
            ? "crashing-request"
            : "crashing-prompt";
        return latest && { reason, until: latest.until };
    }

    /** Returns whether one more crash would block a request, so that it is not worth another target. */
    isSuspect(subject: CrashSubject): boolean {
        return this.#listSuspected(subject).some(key => this.#count(key) >= CRASHES_TO_BLOCK - 1);
    }

    /** Records that a request is sent. If it is a trial of a refused one, no other is made until its outcome is known. */
    recordSent(subject: CrashSubject, now: number): void {
        if (this.#blocked.size === 0) {
            return;
        }
        this.#listSuspected(subject)
            .filter(key => this.#blocked.has(key))
            .forEach(key => this.#blocked.set(key, now + TRIAL_OUTCOME_MS));
    }

    /** Lists the keys that a complete response proves harmless. A long body is hashed only if its request is suspected. */
    listProvenKeys({ prompt, fingerprint }: CrashSubject): readonly string[] {
        const isUseful = fingerprint && (fingerprint.isShort || this.#scopes.has(fingerprint.scope));
        return isUseful ? [...listSharedParts(prompt), fingerprint.key] : listSharedParts(prompt);
    }

    /** Records a crash of a target that was serving a request with these keys. */
    recordCrash(keys: readonly string[], crash: TargetCrash, now: number): void {
        this.#evictExpired(now);
        const parts = keys.filter(key => !RequestFingerprint.isRequestKey(key));
        const unproven = parts.filter(part => this.#successes.find(part) === undefined);
        const suspected = unproven.length > 0 ? unproven : parts;
        for (const key of keys.filter(other => suspected.includes(other) || !parts.includes(other))) {
            if (this.#addCrash(key, crash)) {
                this.#reports.add({ key, outcome: "crash", ...crash }, true);
            }
        }
    }

    /** Records a complete response to a request with these keys, which shows that they crash no target. */
    recordSuccess(keys: readonly string[], sentAt: number, now: number): void {
        this.#evictExpired(now);
        for (const key of keys) {
            if (this.#addSuccess(key, now, now)) {
                this.#reports.add({ key, outcome: "success", sentAt, endedAt: now, targetId: "" }, true);
            }
        }
    }

    /** Adopts outcomes reported by a peer; those of the local data centre are also reported to remote ones. */
    adopt(outcomes: readonly CrashOutcome[], isLocal: boolean, now: number): void {
        this.#evictExpired(now);
        for (const [key, outcome, sentAgeMs, endedAgeMs, targetId] of outcomes) {
            const endedAt = now - endedAgeMs;
            const crash = { targetId, sentAt: now - sentAgeMs, endedAt };
            if (outcome === "crash") {
                this.#reportSuccess(key, now);
            }
            const isNew = outcome === "success"
                ? this.#crashes.has(key) && this.#addSuccess(key, endedAt, now)
                : this.#addCrash(key, { ...crash, sentAt: crash.sentAt - REPORT_DELAY_MS });
            if (isNew && isLocal) {
                this.#reports.add({ key, outcome, ...crash }, false);
            }
        }
    }

    /** Takes the outcomes for the next report to the peers in the data centre, or for its next summary. */
    takeReport(
        receivers: "peers" | "remote" | "data-centre",
        now: number,
    ): readonly CrashOutcome[] | undefined {
        return this.#reports.take(receivers, now, () => this.#listRepeated(now));
    }

    /** Lists the keys of a request that have crashed a target. The body is hashed only if another one of its scope has. */
    #listSuspected({ prompt, fingerprint }: CrashSubject): readonly string[] {
        const keys = fingerprint && this.#scopes.has(fingerprint.scope)
            ? [...listSharedParts(prompt), fingerprint.key]
            : listSharedParts(prompt);
        return keys.filter(key => this.#crashes.has(key));
    }

    #count(key: string): number {
        const crashes = this.#crashes.get(key) ?? [];
        const isServedWidely = !RequestFingerprint.isRequestKey(key)
            || this.#successes.find(key) !== undefined;
        return isServedWidely ? countCrashes(crashes) : crashes.length;
    }

    /** Returns whether the crash is new. */
    #addCrash(key: string, crash: TargetCrash): boolean {
        const known = this.#crashes.get(key) ?? [];
        const isKnown = known.some(({ targetId, endedAt }) =>
            targetId === crash.targetId && Math.abs(endedAt - crash.endedAt) < SAME_CRASH_MS
        );
        if (isKnown || crash.endedAt <= (this.#successes.find(key) ?? Number.NEGATIVE_INFINITY)) {
            return false;
        }
        const newest = [...known, crash].sort((a, b) => a.endedAt - b.endedAt).slice(-MAX_CRASHES);
        if (!newest.includes(crash)) {
            return false;
        }
        this.#replace(key, newest);
        return true;
    }

    /** Returns whether the complete response refutes a crash. */
    #addSuccess(key: string, at: number, now: number): boolean {
        const wasProven = this.#successes.find(key) !== undefined;
        this.#successes.renew(key, at, now);
        const known = this.#crashes.get(key);
        if (!known) {
            return false;
        }
        const newer = known.filter(({ endedAt }) => endedAt > at);
        const isRefuted = newer.length < known.length || !wasProven;
        if (isRefuted) {
            this.#replace(key, newer);
        }
        return isRefuted;
    }

    /** Reports a complete response again to peers that do not know it. */
    #reportSuccess(key: string, now: number): void {
        const at = this.#successes.takeReport(key, now);
        if (at !== undefined) {
            this.#reports.add({ key, outcome: "success", sentAt: at, endedAt: at, targetId: "" }, true);
        }
    }

    /** Keeps the keys in order of their newest crash. */
    #replace(key: string, crashes: readonly TargetCrash[]): void {
        if (this.#crashes.delete(key)) {
            this.#scopes.remove(key);
        }
        if (crashes.length > 0) {
            this.#crashes.set(key, crashes);
            this.#scopes.add(key);
        }
        const wasBlocked = this.#blocked.delete(key);
        const isBlocked = this.#count(key) >= CRASHES_TO_BLOCK;
        if (isBlocked) {
            this.#blocked.set(key, computeTrialAt(crashes) + this.#options.getTrialDelayMs(key));
        }
        if (isBlocked !== wasBlocked) {
            this.#options.onBlockedChanged(key, isBlocked);
        }
    }

    #listRepeated(
        now: number,
    ): readonly ({ readonly key: string; readonly outcome: "crash"; } & TargetCrash)[] {
        return [...this.#crashes].flatMap(([key, crashes]) =>
            crashes.filter(({ endedAt }) => this.#blocked.has(key) || endedAt + REPEATED_FOR_MS > now)
                .slice(-CRASHES_TO_BLOCK)
                .map(crash => ({ key, outcome: "crash" as const, ...crash }))
        );
    }

    /** Forgets keys some time after their last crash or their next trial; if there are too many, refused ones go last. */
    #evictExpired(now: number): void {
        if (now < this.#nextEvictionAt) {
            return;
        }
        this.#nextEvictionAt = now + EVICTION_INTERVAL_MS;
        const keys = [...this.#crashes.keys()];
        const expired = keys.filter(key => {
            const lastAt = this.#blocked.get(key) ?? this.#crashes.get(key)?.at(-1)?.endedAt ?? now;
            return lastAt + RETENTION_MS <= now;
        });
        const kept = keys.filter(key => !expired.includes(key))
            .sort((a, b) => Number(this.#blocked.has(a)) - Number(this.#blocked.has(b)));
        const excess = kept.slice(0, Math.max(0, kept.length - MAX_KEYS));
        [...expired, ...excess].forEach(key => this.#replace(key, []));
    }
}
