import { CooperativeTarget } from "../../../src/standIns/platform/cooperative/cooperativeTarget.js";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";

type TargetArrival = CooperativeTarget["arrivals"][number];

interface CrashingTargetsOptions {
    readonly service: "engine" | "plain";
    readonly count: number;
    readonly isCrashedBy: (arrival: TargetArrival) => boolean;
    /** Time in milliseconds from a crash until the registration is removed and the successor starts. */
    readonly restartMs: number;
    /** Time in milliseconds from the start of a crashing request to the crash. */
    readonly crashMs?: number;
}

const DEFAULT_CRASH_MS = 10;
const SLOTS = 16;
const EVENTS = 12;

/** Targets that crash on certain requests, each of which is replaced by one with another identifier after a while. */
export class CrashingTargets {
    readonly #fleet: CooperativeFleet;
    readonly #options: CrashingTargetsOptions;
    readonly #crashes: number[] = [];
    readonly #arrivals: TargetArrival[] = [];
    #started = 0;
    #isClosed = false;
    readonly #running = new Map<string, CooperativeTarget>();

    private constructor(fleet: CooperativeFleet, options: CrashingTargetsOptions) {
        this.#fleet = fleet;
        this.#options = options;
    }

    /** Starts and registers the targets. */
    static async create(fleet: CooperativeFleet, options: CrashingTargetsOptions): Promise<CrashingTargets> {
        const targets = new CrashingTargets(fleet, options);
        for (let i = 0; i < options.count; i += 1) {
            await targets.#start();
        }
        return targets;
    }

    /** Monotonic times in milliseconds at which targets have crashed. */
    get crashes(): readonly number[] {
        return this.#crashes;
    }

    /** Requests that crashed a target, in order of their arrival. */
    get crashingArrivals(): readonly TargetArrival[] {
        return this.#arrivals;
    }

    /** Number of targets that have not crashed. */
    get runningCount(): number {
        return this.#running.size;
    }

    /** Makes all running targets crash at once, as when a data centre loses power. */
    killAll(): void {
        [...this.#running.values()].forEach(target => target.kill());
    }

    /** Closes all targets. */
    close(): void {
        this.#isClosed = true;
        this.#running.forEach(target => target.close());
    }

    async #start(): Promise<void> {
        const { service, isCrashedBy, crashMs = DEFAULT_CRASH_MS } = this.#options;
        this.#started += 1;
        const id = `crashing-${service}-${this.#started}`;
        const target = await CooperativeTarget.create({
            id,
            service,
            dataCentre: "a",
            slots: SLOTS,
            events: EVENTS,
            eventMs: crashMs,
            isCrashedBy: arrival => {
                const isCrashed = isCrashedBy(arrival);
                if (isCrashed) {
                    this.#arrivals.push(arrival);
                }
                return isCrashed;
            },
            onCrash: () => this.#replace(id),
        });
        this.#running.set(id, target);
        this.#fleet.store.write(`servers/${id}`, target.describe(target.address, "ready"));
    }

    #replace(id: string): void {
        this.#crashes.push(performance.now());
        this.#running.delete(id);
        setTimeout(() => {
            if (!this.#isClosed) {
                this.#fleet.store.remove(`servers/${id}`);
                void this.#start();
            }
        }, this.#options.restartMs);
    }
}
