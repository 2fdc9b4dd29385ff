import { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import type { CooperativeStore } from "../../standIns/platform/cooperative/cooperativeStore.js";
import { CooperativeTarget } from "../../standIns/platform/cooperative/cooperativeTarget.js";
import type { FleetTarget } from "./fleetTarget.js";
import type { Impairments } from "./impairments.js";

interface FleetTargetGroupOptions {
    readonly store: CooperativeStore;
    readonly impairments: Impairments;
    /** Number of requests that an engine runs at once. */
    readonly engineSlots: number;
    /** Number of responses of which the last has neither a length nor chunks; `undefined` if all have. */
    readonly unframedEvery: number | undefined;
}

/** Crash of a target on a request with a body, at a monotonic time in milliseconds. */
interface TargetCrash {
    readonly targetId: string;
    readonly body: string;
    readonly at: number;
}

/** Period in which a target named a request limit, in monotonic milliseconds. */
interface LimitedPeriod {
    readonly target: CooperativeTarget;
    readonly perSecond: number;
    readonly from: number;
    readonly until: number;
}

const ENGINE_EVENTS = 12;
const EVENT_MS = 10;
const PLAIN_SLOTS = 6;
/** Targets crash on requests whose body begins with this text. */
const CRASHING_BODY = "crashing";
const TARGET_RESTART_MS = 1500;

/** Stand-ins of the targets of a test fleet, with their registrations in the store. */
export class FleetTargetGroup {
    readonly #options: FleetTargetGroupOptions;
    readonly #targets: FleetTarget[] = [];
    readonly #limitedPeriods: LimitedPeriod[] = [];
    readonly #crashes: TargetCrash[] = [];
    #isClosed = false;

    private constructor(options: FleetTargetGroupOptions) {
        this.#options = options;
    }

    /** Creates a group without targets. */
    static create(options: FleetTargetGroupOptions): FleetTargetGroup {
        return new FleetTargetGroup(options);
    }

    /** All targets that were ever started. */
    get targets(): readonly FleetTarget[] {
        return this.#targets;
    }

    get limitedPeriods(): readonly LimitedPeriod[] {
        return this.#limitedPeriods;
    }

    get crashes(): readonly TargetCrash[] {
        return this.#crashes;
    }

    /** Starts and registers a target. */
    async add(service: FleetTarget["service"], version: string | undefined): Promise<FleetTarget> {
        const { engineSlots, unframedEvery } = this.#options;
        const target = await CooperativeTarget.create({
            id: `i-${this.#targets.length}`,
            service,
            dataCentre: "a",
            slots: service === "engine" ? engineSlots : PLAIN_SLOTS,
            events: ENGINE_EVENTS,
            eventMs: EVENT_MS,
            ...(version === undefined ? {} : { version }),
            ...(unframedEvery === undefined ? {} : { unframedEvery }),
            isCrashedBy: ({ body }) => body.startsWith(CRASHING_BODY),
            onCrash: body => this.#replace(target, body, version),
        });
        const link = await FaultLink.create(target.address);
        const { address } = link.describe() as { readonly address: string; };
        const registration = { state: "removed", sequence: 0 } as const;
        const entry: FleetTarget = { target, service, link, address, registration };
        this.#targets.push(entry);
        this.setRegistration(entry, "ready");
        return entry;
    }

    /**
     * Crashes a target, which starts again at once under its identifier and address with another version.
     *
     * @param registrationMs Time in milliseconds until the list shows the new start.
     */
    startAgain(entry: FleetTarget, version: string, registrationMs: number): void {
        if (!entry.target.isRunning) {
            return;
        }
        this.#options.impairments.mark(entry.target.id);
        entry.target.startAgain(version);
        entry.link.reset();
        entry.registration = { state: entry.registration.state, sequence: 0 };
        setTimeout(() => {
            // The target may have left meanwhile.
            if (!this.#isClosed && entry.registration.state !== "removed") {
                this.setRegistration(entry, entry.registration.state);
            }
        }, registrationMs);
    }

    /** Ends a target for good, without a successor. */
    end(entry: FleetTarget): void {
        this.setRegistration(entry, "removed");
        entry.link.close();
        entry.target.close();
    }

    /** Registers a target again with a state, or removes its registration; one that has crashed stays removed. */
    setRegistration(entry: FleetTarget, state: FleetTarget["registration"]["state"]): void {
        const { target, address, registration } = entry;
        const { store, impairments } = this.#options;
        if (state !== registration.state) {
            impairments.mark(target.id);
        }
        const sequence = registration.sequence + 1;
        entry.registration = { state, sequence };
        if (state === "removed" || !target.isRunning) {
            store.remove(`servers/${target.id}`);
            return;
        }
        store.write(`servers/${target.id}`, target.describe(address, state, sequence));
    }

    /** Makes a target name a request limit, or none any more if `perSecond` is `undefined`. */
    setLimit({ target }: FleetTarget, perSecond: number | undefined): void {
        const now = performance.now();
        const last = this.#limitedPeriods.findLastIndex(period => period.target === target);
        const period = this.#limitedPeriods[last];
        if (period && period.until > now) {
            this.#limitedPeriods[last] = { ...period, until: now };
        }
        if (perSecond !== undefined) {
            this.#limitedPeriods.push({ target, perSecond, from: now, until: Number.POSITIVE_INFINITY });
        }
        target.setHeader("Server-Limit", ...perSecond === undefined ? [] : [String(perSecond)]);
    }

    /** Ends all targets. */
    close(): void {
        this.#isClosed = true;
        for (const { target, link } of this.#targets) {
            link.close();
            target.close();
        }
    }

    /** Records the crash of a target; its successor gets another identifier and address. */
    #replace(target: CooperativeTarget, body: string, version: string | undefined): void {
        const entry = this.#targets.find(other => other.target === target);
        if (!entry) {
            return;
        }
        this.#crashes.push({ targetId: target.id, body, at: performance.now() });
        this.#options.impairments.mark(target.id);
        entry.link.close();
        setTimeout(() => {
            if (!this.#isClosed) {
                this.setRegistration(entry, "removed");
                void this.add(entry.service, version);
            }
        }, TARGET_RESTART_MS);
    }
}
