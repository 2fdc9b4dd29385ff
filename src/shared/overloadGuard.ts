import { AccountDemand } from "../core/routing/accountDemand.js";
import { AdmissionLimit } from "../core/routing/admissionLimit.js";
import type { AcceptQueue } from "./acceptQueue.js";
import { AccountCounts } from "./accountCounts.js";
import type { OverloadReport } from "./overloadReport.js";

interface OverloadGuardOptions {
    readonly queue: Pick<AcceptQueue, "waitMs">;
    /** Counts the requests that are being read or served. */
    readonly countActive: () => number;
    /** Counts the connections that are held until they may be served. @default none */
    readonly countHeld?: () => number;
    /** Returns whether another instance has room for connections. @default always false */
    readonly hasPeer?: () => boolean;
    /** Called when an overload begins, once a second meanwhile, and with the first connection after it. */
    readonly onReport: (report: OverloadReport) => void;
}

/** Connections wait for so long at most if the process keeps up with them. */
const TARGET_WAIT_MS = 80;
/** Connections that wait longer for this time show an overload (CoDel, Nichols and Jacobson 2012); shorter bursts are served. */
const BURST_MS = 300;
/** Connections that wait for longer than this show an overload sooner, since their refusals would come too late. */
const MAX_BURST_WAIT_MS = 150;
/** Time in which a lower limit shows its effect. */
const INTERVAL_MS = 100;
/** What comes in a burst is held for so long from the first sign of an overload on, as far as it can be served in that time. */
const MAX_HOLD_MS = 1000;
/** Share of what can be served by then that is held, since the limit still falls at the beginning of an overload. */
const HOLD_SHARE = 0.6;
/** Beyond this wait all connections are refused, since that empties the queue fastest. */
const MAX_WAIT_MS = 120;
/** Longest time for which spared requests of small and of other accounts hold back the rest. */
const MAX_SMALL_DEBT_MS = 500;
const MAX_DEBT_MS = 100;
const REPORT_INTERVAL_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Tells which connections are served while more come than the process can serve. Without it, connections would wait in the queue
 * of the operating system until their callers have given up, and the process would work for nobody (docs/incidents/abandoned-requests.md).
 */
export class OverloadGuard {
    readonly #options: OverloadGuardOptions;
    readonly #limit = AdmissionLimit.create();
    readonly #demand = AccountDemand.create();
    /** Monotonic time in milliseconds at which connections have waited too long for long enough; `undefined` while they do not. */
    #limitAt: number | undefined;
    /** Monotonic time in milliseconds until which connections are held. */
    #holdUntil = 0;
    /** Monotonic time in milliseconds at which the next overload may be a burst of its own. */
    #holdAgainAt = 0;
    #relayed = 0;
    readonly #refusedByAccount = AccountCounts.create();
    #refused = 0;
    #spared = 0;
    #failed = 0;
    #lastFailure: string | undefined;
    #maxWaitMs = 0;
    #isReported = false;
    /** Monotonic time in milliseconds. */
    #nextReportAt = 0;

    private constructor(options: OverloadGuardOptions) {
        this.#options = options;
    }

    /** Creates a guard that refuses nothing. */
    static create(options: OverloadGuardOptions): OverloadGuard {
        return new OverloadGuard(options);
    }

    /** True while connections are refused, and for a second afterwards. */
    get isOverloaded(): boolean {
        this.#limit.update(performance.now());
        return this.#limit.isActive;
    }

    /** Returns whether a connection that has been accepted may be served, whoever its caller is. */
    mayAccept(): boolean {
        const now = performance.now();
        const isLate = this.#observeWait(now);
        const mayAccept = this.#limit.mayAdmit(now, isLate);
        if (!mayAccept) {
            this.#maxWaitMs = Math.max(this.#maxWaitMs, this.#options.queue.waitMs);
        }
        this.#report(now);
        return mayAccept;
    }

    /**
     * Refuses a new connection of an account, unless it may be served now, spared or held. Returns whether it is refused; it has to
     * be decided about as any other if not.
     */
    tryRefuse(account: string): boolean {
        const now = performance.now();
        const isLate = this.#observeWait(now);
        const maxDebtMs = this.#findMaxDebtMs(account, now);
        // It would be relayed, and refused there.
        const isVain = !this.#demand.isServedByPeers(account, now) && this.#options.hasPeer?.() === true;
        if (
            !this.#limit.isActive
            || !isVain && (
                    !isLate && this.#limit.hasAdmission(now)
                    || (this.#options.countHeld?.() ?? 0) < this.countHoldable()
                    || maxDebtMs !== undefined && this.#limit.hasAdmission(now, maxDebtMs)
                )
        ) {
            return false;
        }
        this.#demand.addOffered(account, now);
        if (isVain) {
            this.#limit.recordRefusal(now);
        }
        const isRefused = isVain || !this.mayAccept();
        this.#refusedByAccount.add(account, Number(isRefused));
        return isRefused;
    }

    /** Lowers the limit if connections wait for too long. Returns whether a new one is too late, whatever the rate. */
    #observeWait(now: number): boolean {
        const { waitMs } = this.#options.queue;
        const isShortBurst = !this.#limit.isActive && waitMs <= MAX_BURST_WAIT_MS;
        this.#limitAt = waitMs <= TARGET_WAIT_MS
            ? undefined
            : Math.min(this.#limitAt ?? Infinity, now + (isShortBurst ? BURST_MS : INTERVAL_MS));
        if (this.#limitAt !== undefined && now >= this.#limitAt) {
            this.#limitAt = now + INTERVAL_MS;
            if (now >= this.#holdAgainAt) {
                this.#holdUntil = now + MAX_HOLD_MS;
            }
            this.#limit.recordOverload(now);
        }
        if (this.#limit.isActive) {
            this.#holdAgainAt = now + MAX_HOLD_MS;
        }
        // While the burst lasts, those that are held came first.
        const isBehindHeld = (this.#options.countHeld?.() ?? 0) > 0 && this.#limit.isExceeded(now);
        return waitMs > MAX_WAIT_MS || isBehindHeld;
    }

    /** Returns whether a request of an account may be served although its connection may not. */
    maySpare(account: string): boolean {
        const now = performance.now();
        this.#demand.addOffered(account, now);
        return this.#maySpare(account, now);
    }

    /**
     * Returns how many connections may be held, which are those that can be served until the time of a burst is over. In an overload
     * that lasts, connections would only wait longer for the same refusals.
     */
    countHoldable(): number {
        const now = performance.now();
        return HOLD_SHARE * this.#limit.lastRate * Math.max(0, this.#holdUntil - now) / MS_PER_SECOND;
    }

    /** Returns whether a connection that has been held may be served; its request was counted as offered. */
    mayServeHeld(account: string): boolean {
        const now = performance.now();
        const mayServe = this.#options.queue.waitMs <= MAX_WAIT_MS && this.#limit.mayAdmitHeld(now);
        if (mayServe) {
            this.#demand.addAdmitted(account, now);
        }
        return mayServe;
    }

    /** Records the first request on a connection that may be served. */
    recordRequest(account: string): void {
        const now = performance.now();
        this.#demand.addOffered(account, now);
        this.#demand.addAdmitted(account, now);
    }

    /** Returns whether a further request on a connection may be served. */
    mayServe(account: string): boolean {
        const now = performance.now();
        this.#demand.addOffered(account, now);
        if (!this.#limit.mayAdmit(now, this.#observeWait(now))) {
            return this.#maySpare(account, now);
        }
        this.#demand.addAdmitted(account, now);
        return true;
    }

    /**
     * Admits a new connection that another instance has room for, in an overload. Returns a function that records whether that one has
     * refused it; `undefined` if it has to be decided about as any other.
     */
    tryRelay(account: string): ((isRefused: boolean) => void) | undefined {
        const now = performance.now();
        if (!this.#limit.isActive || this.#observeWait(now) || !this.#limit.hasAdmission(now)) {
            return undefined;
        }
        this.#limit.mayAdmit(now);
        this.recordRequest(account);
        this.#relayed += 1;
        return isRefused => this.#demand.addRelayed(account, isRefused, performance.now());
    }

    /** Records a connection that is refused. */
    recordRefused(): void {
        this.#refused += 1;
    }

    /** Records that a refused connection, or a measurement of the queue, has failed. */
    recordFailure(error: NodeJS.ErrnoException): void {
        this.#failed += 1;
        this.#lastFailure = error.code ?? error.message;
    }

    /**
     * Refusals hit accounts by what they ask, so that one that asks for little would lose as much of it as one that asks for
     * many times its share. Up to an equal share of what is admitted, an account is served.
     */
    #maySpare(account: string, now: number): boolean {
        const maxDebtMs = this.#findMaxDebtMs(account, now);
        const isSpared = maxDebtMs !== undefined && this.#limit.mayBorrow(now, maxDebtMs);
        if (isSpared) {
            this.#demand.addAdmitted(account, now);
            this.#spared += 1;
        }
        return isSpared;
    }

    /** Returns the longest time in milliseconds for which a spared request of an account may hold back others, if it is spared. */
    #findMaxDebtMs(account: string, now: number): number | undefined {
        const { offered, admitted } = this.#demand.getRates(account, now);
        // An account whose first request this is counts, too.
        const { accounts } = this.#demand;
        const share = this.#limit.rate / accounts;
        const isSmall = offered <= share;
        const isShort = admitted < share && this.#options.queue.waitMs <= MAX_WAIT_MS;
        const mayBorrow = !this.#limit.isActive || accounts > 1 && (isSmall || isShort);
        if (!mayBorrow) {
            return undefined;
        }
        return isSmall ? MAX_SMALL_DEBT_MS : MAX_DEBT_MS;
    }

    #report(now: number): void {
        const isOverloaded = this.#limit.isActive;
        if (isOverloaded === this.#isReported && (!isOverloaded || now < this.#nextReportAt)) {
            return;
        }
        const { topAccount, count: topAccountRefused } = this.#refusedByAccount.takeTop();
        this.#isReported = isOverloaded;
        this.#nextReportAt = now + REPORT_INTERVAL_MS;
        this.#options.onReport({
            isOverloaded,
            refused: this.#refused,
            topAccount,
            topAccountRefused,
            relayed: this.#relayed,
            spared: this.#spared,
            failed: this.#failed,
            lastFailure: this.#lastFailure,
            maxWaitMs: Math.round(this.#maxWaitMs),
            active: this.#options.countActive(),
            perSecond: Math.round(this.#limit.rate),
        });
        this.#refused = 0;
        this.#relayed = 0;
        this.#spared = 0;
        this.#failed = 0;
        this.#lastFailure = undefined;
        this.#maxWaitMs = 0;
    }
}
