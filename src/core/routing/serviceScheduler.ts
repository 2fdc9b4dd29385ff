import type { AccountUsage } from "./accountUsage.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetEntry } from "./targetEntry.js";
import type { TargetGrant } from "./targetGrant.js";
import { TargetPicker } from "./targetPicker.js";
import { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface ServiceSchedulerOptions {
    readonly service: RoutedService;
    readonly settings: SchedulerSettings;
    readonly usage: AccountUsage;
    /** Tokens a second that all engines process together; 0 if unknown. */
    readonly getTokensPerSecond: () => number;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (entry: TargetEntry, limitPerSecond: number) => TargetCandidate["coldShare"];
}

/** A generated token costs an engine about as much as this many prompt tokens. */
const OUTPUT_TOKEN_COST = 2;
/** Waiting requests of one service above which new ones are refused, to bound memory. */
const MAX_WAITING = 2000;
/** The stated rate counts each prompt token as read; engines take more, since about a third of them is kept. */
const KEPT_FACTOR = 1.4;
/** An account gets at most this many times its share while others want more than theirs. */
const MAX_EXCESS = 1.8;
/** A request beyond its account's share waits for this part of its objective; longer waits are billed as late refusals. */
const OVER_SHARE_WAIT = 0.12;
/** Time in milliseconds that an idle target takes to begin its answer. */
const MIN_ANSWER_MS = 40;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 3000;
/** Decides which waiting request of a service goes to which target, and which is refused. */
export class ServiceScheduler {
    readonly #options: ServiceSchedulerOptions;
    readonly #picker: TargetPicker;
    #service: RoutedService;
    readonly #targets = new Map<string, TargetState>();
    #evacuated: ReadonlySet<string> = new Set();
    #waiting: WaitingRequest[] = [];

    private constructor(options: ServiceSchedulerOptions) {
        this.#options = options;
        this.#service = options.service;
        this.#picker = TargetPicker.create({
            targets: this.#targets,
            settings: options.settings,
            getService: () => this.#service,
            getEvacuated: () => this.#evacuated,
            getColdShare: options.getColdShare,
        });
    }

    /** Creates a scheduler without targets. */
    static create(options: ServiceSchedulerOptions): ServiceScheduler {
        return new ServiceScheduler(options);
    }

    /** Targets by identifier. */
    get targets(): ReadonlyMap<string, TargetState> {
        return this.#targets;
    }

    /** Number of requests that wait for a target. */
    get waitingCount(): number {
        return this.#waiting.length;
    }

    /** Replaces the description of the service. */
    setService(service: RoutedService): void {
        this.#service = service;
    }

    /** Replaces the list of targets and of data centres that must get no requests. */
    setTargets(entries: readonly TargetEntry[], evacuated: ReadonlySet<string>, now: number): void {
        const returned = [...this.#evacuated].filter(dataCentre => !evacuated.has(dataCentre));
        this.#evacuated = evacuated;
        const listed = new Set(entries.map(entry => entry.id));
        for (const id of this.#targets.keys()) {
            if (!listed.has(id)) {
                this.#targets.delete(id);
            }
        }
        for (const entry of entries) {
            const known = this.#targets.get(entry.id);
            if (known?.entry.startedAtMs === entry.startedAtMs) {
                known.entry = entry;
                continue;
            }
            this.#targets.set(entry.id, TargetState.create(entry, this.#service.engine?.memoryTokens, now));
        }
        // Targets without requests may have become cold before their registration says so.
        for (const target of this.#targets.values()) {
            if (returned.includes(target.entry.dataCentre)) {
                target.presumedColdUntil = now + this.#service.warmupMs;
            }
        }
        this.advance(now);
    }

    /** Adds a request; it is granted a target, refused, or waits until one of both happens. */
    enqueue(waiting: WaitingRequest, now: number): void {
        if (this.#waiting.length >= MAX_WAITING && !waiting.isResume) {
            waiting.onRefuse("overloaded", MAX_RETRY_AFTER_MS);
            return;
        }
        if (!waiting.isResume) {
            this.#options.usage.addAsked(waiting.request.account, computeTokens(waiting.request), now);
        }
        this.#waiting.push(waiting);
        this.advance(now);
    }

    /** Removes a request whose caller has left. */
    withdraw(waiting: WaitingRequest): void {
        this.#waiting = this.#waiting.filter(other => other !== waiting);
    }

    /** Records the first event of an answer: the target has read the prompt. */
    start(grant: TargetGrant, now: number): void {
        grant.target.pendingTokens -= grant.missingTokens;
        grant.target.recordFirstEvent(now - grant.grantedAt, grant.expectedMs);
        this.advance(now);
    }

    /** Gives a grant back. `wasStarted` tells whether `start` was called. */
    release(grant: TargetGrant, wasStarted: boolean, now: number): void {
        grant.target.inFlight -= 1;
        if (!wasStarted) {
            grant.target.pendingTokens -= grant.missingTokens;
        }
        this.advance(now);
    }

    /** Grants targets to waiting requests in fair order and refuses those that can no longer be on time. */
    advance(now: number): void {
        if (this.#waiting.length === 0) {
            return;
        }
        const share = this.#computeShare(now);
        const ordered = this.#sortWaiting(now);
        const left: WaitingRequest[] = [];
        const granted: (readonly [WaitingRequest, TargetGrant])[] = [];
        const refused: (readonly [WaitingRequest, "no-target" | "overloaded"])[] = [];
        for (const waiting of ordered) {
            const { request } = waiting;
            const excess = this.#options.usage.getGranted(request.account, now) / share;
            const isOverShare = excess > 1;
            const candidate = excess > MAX_EXCESS ? undefined : this.#picker.pick(waiting, isOverShare, now);
            if (candidate) {
                granted.push([waiting, this.#reserve(request, candidate, now)]);
                continue;
            }
            if (waiting.isResume || now < this.#getWaitDeadline(request, isOverShare)) {
                left.push(waiting);
                continue;
            }
            refused.push([waiting, this.#targets.size === 0 ? "no-target" : "overloaded"]);
        }
        this.#waiting = left;
        granted.forEach(([waiting, grant]) => waiting.onGrant(grant));
        refused.forEach(([waiting, reason]) => waiting.onRefuse(reason, this.#estimateRetryAfter()));
    }

    /** Tokens that a client account may be granted before its requests wait for targets without a queue. */
    #computeShare(now: number): number {
        const { usage, getTokensPerSecond } = this.#options;
        const rate = getTokensPerSecond();
        return this.#service.engine && rate > 0
            ? usage.computeShare(rate * KEPT_FACTOR, now)
            : Number.POSITIVE_INFINITY;
    }

    /** Time from which a request cannot be on time any more, or, beyond the share, is sent away to come back later. */
    #getWaitDeadline(request: RoutedRequest, isOverShare: boolean): number {
        if (isOverShare) {
            return request.receivedAt + request.route.objectiveMs * OVER_SHARE_WAIT;
        }
        const readingMs = this.#service.engine
            ? request.promptTokens / this.#options.settings.prefillTokensPerMs
            : 0;
        return request.objectiveDeadline - Math.min(request.route.objectiveMs / 2, MIN_ANSWER_MS + readingMs);
    }

    #estimateRetryAfter(): number {
        const tokens = this.#waiting.reduce((sum, waiting) => sum + waiting.request.promptTokens, 0);
        const rate = Math.max(1, this.#targets.size) * this.#options.settings.prefillTokensPerMs;
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / rate));
    }

    /** Resumed streams first, then the client account with the least recent usage, then the oldest. */
    #sortWaiting(now: number): readonly WaitingRequest[] {
        if (this.#waiting.length === 1) {
            return this.#waiting;
        }
        const usage = new Map<string, number>();
        for (const { request } of this.#waiting) {
            if (!usage.has(request.account)) {
                usage.set(request.account, this.#options.usage.getGranted(request.account, now));
            }
        }
        return [...this.#waiting].sort((a, b) =>
            Number(b.isResume) - Number(a.isResume)
            || (usage.get(a.request.account) ?? 0) - (usage.get(b.request.account) ?? 0)
            || a.request.receivedAt - b.request.receivedAt
        );
    }

    #reserve(request: RoutedRequest, candidate: TargetCandidate, now: number): TargetGrant {
        const { target, grant, coldShare } = candidate;
        target.inFlight += 1;
        target.pendingTokens += grant.missingTokens;
        if (coldShare) {
            target.coldBucket.tryTake(now, coldShare.perSecond, coldShare.burst);
        }
        target.cache.add(request.prompt);
        this.#options.usage.addGranted(request.account, computeTokens(request), now);
        return grant;
    }
}

/** A generated token counts twice. */
function computeTokens(request: RoutedRequest): number {
    return request.promptTokens + OUTPUT_TOKEN_COST * request.outputTokens;
}
