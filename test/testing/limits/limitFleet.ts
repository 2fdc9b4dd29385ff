import type { LimitStatement } from "../../../src/core/limits/limitStatement.js";
import type { PermitGrant } from "../../../src/core/limits/permitGrant.js";
import { RequestLimiter } from "../../../src/core/limits/requestLimiter.js";
import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import type { Membership } from "../../../src/core/routing/membership.js";
import { createMembership } from "../../../src/router/createMembership.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";

interface LimitFleetOptions {
    readonly instances: number;
    readonly dataCentres: number;
    readonly targets: number;
    readonly perSecond: number;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    /** Requests per second that the callers of an instance send; they change targets until one is open. */
    readonly getDemand: (instance: number, now: number) => number;
    /** Whether requests of an instance can use limited targets; by default all can. */
    readonly canUse?: (instance: number) => boolean;
    /** Whether a datagram from one instance reaches another; loss is a random answer. */
    readonly isReachable: (from: number, to: number, now: number) => boolean;
}

interface SimulatedInstance {
    limiter: RequestLimiter;
    membership: Membership;
    incarnation: number;
    sequence: number;
    isRunning: boolean;
    state: MemberRecord["state"];
    /** Fraction of the next request. */
    due: number;
}

const STEP_MS = 25;
const REPORT_MS = 150;
const SUMMARY_MS = 300;
const DELIVERY_MS = 25;
const MS_PER_SECOND = 1000;

/** Instances with their limiters and memberships in simulated time; datagrams can be lost, and instances restart. */
export class LimitFleet {
    readonly #options: LimitFleetOptions;
    readonly #instances: SimulatedInstance[] = [];
    readonly #queue: { readonly at: number; readonly run: () => void; }[] = [];
    readonly #regions: ReadonlyMap<string, string>;
    readonly arrivals = new Map<string, number[]>();
    refusals = 0;
    now = 0;
    #statement: LimitStatement;

    private constructor(options: LimitFleetOptions) {
        this.#options = options;
        this.#statement = { kind: "named", perSecond: options.perSecond };
        this.#regions = new Map(
            Array.from({ length: options.dataCentres }, (_, i) => [`dc${i}`, `region${i}`] as const),
        );
        for (let i = 0; i < options.targets; i += 1) {
            this.arrivals.set(`t${i}`, []);
        }
        for (let i = 0; i < options.instances; i += 1) {
            this.#instances.push(this.#create(i));
        }
    }

    /** Creates a fleet whose instances have just started. */
    static create(options: LimitFleetOptions): LimitFleet {
        return new LimitFleet(options);
    }

    /** Data centre of an instance, by number. */
    getDataCentre(instance: number): number {
        return instance % this.#options.dataCentres;
    }

    /** Sets the limit that all targets name; `undefined` lifts it. */
    setLimit(perSecond: number | undefined): void {
        this.#statement = perSecond === undefined ? { kind: "none" } : { kind: "named", perSecond };
    }

    /** Returns how many instances know a limit of the target. */
    countLimited(target: string): number {
        return this.#instances.filter(({ limiter, isRunning }) => isRunning && limiter.isLimited(target))
            .length;
    }

    /** Ends an instance without notice. */
    kill(instance: number): void {
        this.#get(instance).isRunning = false;
    }

    /** Starts an instance again, which remembers nothing. */
    start(instance: number): void {
        this.#instances[instance] = this.#create(instance);
    }

    /** Makes an instance announce that it leaves. */
    close(instance: number): void {
        this.#get(instance).state = "closed";
    }

    /** Runs until a time in milliseconds; `onStep` is called before each step. */
    run(until: number, onStep: (now: number) => void = () => undefined): void {
        for (; this.now < until; this.now += STEP_MS) {
            onStep(this.now);
            const due = this.#queue.filter(({ at }) => at <= this.now);
            this.#queue.splice(0, this.#queue.length, ...this.#queue.filter(({ at }) => at > this.now));
            due.forEach(({ run }) => run());
            this.#instances.forEach((instance, i) => {
                if (instance.isRunning) {
                    // Reports of the instances are spread over the interval.
                    const phase = (this.now + i * STEP_MS) % REPORT_MS;
                    if (phase === 0) {
                        this.#report(instance, i);
                    }
                    this.#sendRequests(instance, i);
                }
            });
        }
    }

    #create(i: number): SimulatedInstance {
        const dataCentre = `dc${this.getDataCentre(i)}`;
        const limiter = RequestLimiter.create({
            instance: `i${i}`,
            locality: { dataCentre, region: this.#regions.get(dataCentre) ?? "" },
            regionsByDataCentre: this.#regions,
            startedAt: this.now,
            onLimitChanged: () => undefined,
            onUnusualLimit: () => undefined,
        });
        limiter.setTargets(
            [...this.arrivals.keys()].map((id, index) =>
                makeTargetDescriptor(id, { dataCentre: `dc${index % this.#options.dataCentres}` })
            ),
            this.now,
        );
        return {
            limiter,
            membership: createMembership(dataCentre),
            incarnation: this.now,
            sequence: 0,
            isRunning: true,
            state: "open",
            due: 0,
        };
    }

    #get(i: number): SimulatedInstance {
        const instance = this.#instances[i];
        if (!instance) {
            throw new Error(`There is no instance ${i}.`);
        }
        return instance;
    }

    #describe(instance: SimulatedInstance, i: number): MemberRecord {
        instance.sequence += 1;
        const dataCentre = `dc${this.getDataCentre(i)}`;
        return {
            name: `i${i}`,
            dataCentre,
            region: this.#regions.get(dataCentre) ?? "",
            ip: `10.0.0.${i}`,
            callerAddress: `10.0.0.${i}:1`,
            incarnation: instance.incarnation,
            sequence: instance.sequence,
            state: instance.state,
            weight: 1,
        };
    }

    #report(instance: SimulatedInstance, i: number): void {
        const { limiter, membership } = instance;
        const { now } = this;
        const known = membership.listKnown(now);
        const grants = limiter.advance({
            live: membership.listLive(now),
            known,
            isClosed: instance.state === "closed",
            isIsolated: known.length === 0 && this.#options.instances > 1,
        }, now);
        this.#sendPermits(instance, i, grants);
        const record = this.#describe(instance, i);
        const report = limiter.buildReport(now);
        this.#instances.forEach((_, to) => {
            if (to !== i && this.getDataCentre(to) === this.getDataCentre(i)) {
                this.#send(i, to, receiver => {
                    const isNewer = receiver.membership.adopt(record, this.now) !== "stale";
                    if (isNewer && report) {
                        receiver.limiter.applyReport(report, record, "instance", this.now);
                    }
                });
            }
        });
        if (i < this.#options.dataCentres && now % SUMMARY_MS < REPORT_MS) {
            this.#sendSummary(instance, i, record);
        }
    }

    #sendSummary(instance: SimulatedInstance, i: number, record: MemberRecord): void {
        const summary = instance.limiter.buildSummary("data-centre", this.now);
        const summaryRecord = this.#describe(instance, i);
        const members = [record, ...instance.membership.listLive(this.now)]
            .filter(member => member.dataCentre === record.dataCentre);
        this.#instances.forEach((_, to) => {
            if (this.getDataCentre(to) !== this.getDataCentre(i)) {
                this.#send(i, to, receiver => {
                    members.forEach(member => receiver.membership.adopt(member, this.now));
                    if (receiver.membership.adopt(summaryRecord, this.now) !== "stale" && summary) {
                        receiver.limiter.applyReport(summary, summaryRecord, "data-centre", this.now);
                    }
                });
            }
        });
    }

    #sendPermits(instance: SimulatedInstance, i: number, grants: readonly PermitGrant[]): void {
        for (const { recipient, permits } of grants) {
            const record = this.#describe(instance, i);
            const to = Number(recipient.slice(1));
            this.#send(i, to, receiver => {
                if (receiver.membership.adopt(record, this.now) !== "stale") {
                    const passedOn = receiver.limiter.applyPermits(permits, record, this.now);
                    this.#sendPermits(receiver, to, passedOn);
                }
            });
        }
    }

    #send(from: number, to: number, apply: (receiver: SimulatedInstance) => void): void {
        if (!this.#options.isReachable(from, to, this.now)) {
            return;
        }
        this.#queue.push({
            at: this.now + DELIVERY_MS,
            run: () => {
                const receiver = this.#get(to);
                if (receiver.isRunning) {
                    apply(receiver);
                }
            },
        });
    }

    #sendRequests(instance: SimulatedInstance, i: number): void {
        const { limiter } = instance;
        const { now } = this;
        if (instance.state === "closed") {
            return;
        }
        instance.due += this.#options.getDemand(i, now) * STEP_MS / MS_PER_SECOND;
        const targets = [...this.arrivals.keys()];
        for (; instance.due >= 1; instance.due -= 1) {
            limiter.addRequest("s", now);
            const first = Math.floor(this.#options.getRandom() * targets.length);
            const target = targets.map((_, k) => targets[(first + k) % targets.length] ?? "")
                .find(id => limiter.isOpen(id, now) && (this.#options.canUse?.(i) ?? true));
            if (target === undefined) {
                limiter.addRefusal("s", now);
                this.refusals += 1;
                continue;
            }
            limiter.takePermit(target, now);
            this.arrivals.get(target)?.push(now);
            limiter.observe(target, this.#statement, now, now);
        }
    }
}
