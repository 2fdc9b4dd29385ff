import { countMostWithin } from "../testing/countMostWithin.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { sendCaller } from "../testing/sendCaller.js";
import { findLostRequests } from "./findLostRequests.js";
import type { IncompleteRequest } from "./incompleteRequest.js";
import type { ObservedRequest } from "./observedRequest.js";
import { ResumptionCheck } from "./resumptionCheck.js";
import type { SoakViolation } from "./soakViolation.js";
import { StreamOrderCheck } from "./streamOrderCheck.js";

type CallerResult = Awaited<ReturnType<typeof sendCaller>>;

const LIMIT_SETTLE_MS = 4000;
const CONTACT_MS = 4000;
const MAX_LATE_RUNS = 3;
const LIMIT_WINDOW_MS = 4000;
/** Statuses that tell the caller that the request was not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const UNAUTHORIZED = 401;

/** Checks the guarantees to callers and targets against what both observed. */
export class SoakObserver {
    readonly #fleet: CooperativeFleet;
    readonly #violations: SoakViolation[] = [];
    readonly #refused = new Set<string>();
    readonly #nonRepeatable = new Set<string>();
    /** Requests that carried an API key, by request identifier. */
    readonly #withKey = new Map<string, ObservedRequest>();
    readonly #denied: (ObservedRequest & { readonly status: number; })[] = [];
    readonly #incomplete: IncompleteRequest[] = [];
    #causes: ReturnType<typeof findLostRequests>["causes"] = {};
    readonly #streamOrderCheck: StreamOrderCheck;
    /** One check for each phase of the run. */
    readonly #resumptionChecks: ResumptionCheck[];
    #served = 0;
    #sent = 0;

    private constructor(fleet: CooperativeFleet) {
        this.#fleet = fleet;
        this.#streamOrderCheck = StreamOrderCheck.create();
        this.#resumptionChecks = [ResumptionCheck.create(fleet, "lost-request")];
    }

    /** Creates an observer that has seen nothing. */
    static create(fleet: CooperativeFleet): SoakObserver {
        return new SoakObserver(fleet);
    }

    get violations(): readonly SoakViolation[] {
        return [
            ...this.#violations,
            ...this.#streamOrderCheck.violations,
            ...this.#resumptionChecks.flatMap(check => check.list()),
        ];
    }

    /** Streams that were taken up at calm instances while two targets of their version served. */
    get resumptions(): number {
        return this.#resumptionChecks.reduce((sum, { resumptions }) => sum + resumptions, 0);
    }

    /** Requests that ended without an answer or a refusal while their callers waited, whatever the reason. */
    get unanswered(): number {
        return this.#incomplete.filter(({ status, endedAt, deadline }) => status === 0 && endedAt < deadline)
            .length;
    }

    /** Requests without a byte of a response, by the cause that explains them. */
    get causes(): ReturnType<typeof findLostRequests>["causes"] {
        return this.#causes;
    }

    get served(): number {
        return this.#served;
    }

    get sent(): number {
        return this.#sent;
    }

    /** Compares streams from now on only with each other: how many begin, and how many go on. */
    startPhase(rule: SoakViolation["rule"]): void {
        this.#resumptionChecks.push(ResumptionCheck.create(this.#fleet, rule));
    }

    /** Records a request and the result that its caller got. */
    record(request: ObservedRequest, result: CallerResult): void {
        const { requestId, route } = request;
        this.#sent += 1;
        if (route === "stream" || route === "once") {
            this.#withKey.set(requestId, request);
        }
        if (route === "unsafe" || route === "once") {
            this.#nonRepeatable.add(requestId);
            if (NOT_RUN_STATUSES.includes(result.status)) {
                this.#refused.add(requestId);
            }
        }
        if (result.status === 200 && result.isWhole) {
            this.#served += 1;
        }
        else if (!result.isWhole && !request.isBrokenByCaller) {
            const { status, errorCode, isReused } = result;
            this.#incomplete.push({ ...request, status, errorCode, isReused });
        }
        this.#checkResponse(request, result);
        if (result.status === 401 || result.status === 404) {
            this.#denied.push({ ...request, status: result.status });
        }
    }

    /** Compares the requests that targets ran with the responses that callers got. */
    checkTargets(): void {
        const fleet = this.#fleet;
        const runs = new Map<string, number>();
        for (const { requestId } of fleet.targets.flatMap(({ target }) => target.arrivals)) {
            runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
        }
        for (const requestId of this.#nonRepeatable) {
            const count = runs.get(requestId) ?? 0;
            if (count > 1) {
                this.#add(requestId, `ran ${count} times though it must run once`);
            }
            if (count > 0 && this.#refused.has(requestId)) {
                this.#add(requestId, `ran though its refusal says that it did not`);
            }
        }
        this.#checkKeys(fleet, new Set(runs.keys()));
        this.#checkLimits(fleet);
        this.#checkCrashes(fleet);
        const { causes, violations } = findLostRequests(fleet, this.#incomplete);
        this.#causes = causes;
        this.#violations.push(...violations);
    }

    /** Four seconds after its third crash, a request may reach targets three times, and once for each later start. */
    #checkCrashes({ crashes, targets, instanceStarts }: CooperativeFleet): void {
        const arrivals = targets.flatMap(({ target }) => target.arrivals);
        for (const body of new Set(crashes.map(crash => crash.body).filter(Boolean))) {
            const third = crashes.filter(crash => crash.body === body)[2];
            const boundFrom = (third?.at ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
            const late = arrivals.filter(arrival => arrival.body === body && arrival.at > boundFrom).length;
            const allowed = MAX_LATE_RUNS + instanceStarts.filter(at => at > boundFrom - CONTACT_MS).length;
            if (late > allowed) {
                this.#add(body, `reached targets ${late} times more, ${allowed} allowed`);
            }
        }
    }

    /** From four seconds after it was named, the platform tolerates one and a half times a limit and five requests. */
    #checkLimits({ limitedPeriods }: CooperativeFleet): void {
        for (const { target, perSecond, from, until } of limitedPeriods) {
            const times = target.arrivals.map(({ at }) => at)
                .filter(at => at >= from + LIMIT_SETTLE_MS && at < until);
            const allowed = 1.5 * perSecond * LIMIT_WINDOW_MS / 1000 + 5;
            const most = countMostWithin(times, LIMIT_WINDOW_MS);
            if (most > allowed) {
                this.#add(target.id, `got ${most} requests in 4 s, ${allowed} allowed`);
            }
        }
    }

    /** A revoked key may be accepted for `revocationMs`, and a restored key may be denied for as long. */
    #checkKeys({ revocations, revocationMs }: CooperativeFleet, ran: ReadonlySet<string>): void {
        for (const { requestId, sentAt, endedAt } of this.#withKey.values()) {
            const isRevoked = revocations.some(({ from, until }) =>
                sentAt > from + revocationMs && endedAt < until
            );
            if (isRevoked && ran.has(requestId)) {
                this.#add(requestId, `ran with a revoked key`);
            }
        }
        for (const { requestId, sentAt, endedAt, status } of this.#denied) {
            const isAllowed = status === 401 && this.#withKey.has(requestId)
                && revocations.some(({ from, until }) => endedAt > from && sentAt < until + revocationMs);
            if (!isAllowed) {
                this.#add(requestId, `denied with ${status} though it is allowed`);
            }
        }
    }

    #checkResponse(request: ObservedRequest, result: CallerResult): void {
        const { requestId, route, resumed } = request;
        const isWhole = result.status === 200 && result.isWhole;
        if (route === "safe" || route === "unsafe") {
            if (isWhole && result.body !== `answer to ${requestId}`) {
                this.#add(requestId, `got "${result.body}"`);
            }
            return;
        }
        const emptyAfter = new Set(
            this.#fleet.targets.flatMap(({ target }) => target.arrivals)
                .filter(arrival => arrival.requestId === requestId && arrival.fault === "empty")
                .map(({ lastEventId }) => lastEventId),
        );
        const events = result.status === 200
            ? this.#streamOrderCheck.record(request, result.body, result.isWhole, emptyAfter)
            : 0;
        if (route === "stream" && result.status !== UNAUTHORIZED) {
            const version = resumed && this.#streamOrderCheck.getVersion(resumed.streamId);
            this.#resumptionChecks.at(-1)?.record(request, version, isWhole || events > 0);
        }
    }

    #add(subject: string, text: string): void {
        this.#violations.push({ rule: "other", subject, text });
    }
}
