import { CooperativeTarget } from "../../../src/standIns/platform/cooperative/cooperativeTarget.js";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";

const ENGINE = { service: "engine", dataCentre: "a", slots: 16, events: 12, eventMs: 10 };
/** Time after which the registration of a crashed engine lapses and its successor starts. */
const RESTART_MS = 1500;

/** Engines that crash when they begin to respond to a prompt with a certain part, and are replaced after a while. */
export class CrashingEngines {
    readonly #fleet: CooperativeFleet;
    readonly #part: string;
    readonly #crashes: number[] = [];
    #started = 0;
    #isClosed = false;
    readonly #running = new Map<string, CooperativeTarget>();

    private constructor(fleet: CooperativeFleet, part: string) {
        this.#fleet = fleet;
        this.#part = part;
    }

    /** Starts and registers engines. */
    static async create(fleet: CooperativeFleet, part: string, count: number): Promise<CrashingEngines> {
        const engines = new CrashingEngines(fleet, part);
        for (let i = 0; i < count; i += 1) {
            await engines.#start();
        }
        return engines;
    }

    /** Monotonic times in milliseconds at which engines have crashed. */
    get crashes(): readonly number[] {
        return this.#crashes;
    }

    /** Number of engines that have not crashed. */
    get runningCount(): number {
        return this.#running.size;
    }

    /** Closes all engines. */
    close(): void {
        this.#isClosed = true;
        this.#running.forEach(target => target.close());
    }

    async #start(): Promise<void> {
        this.#started += 1;
        const id = `crashing-${this.#started}`;
        const target = await CooperativeTarget.create({
            ...ENGINE,
            id,
            crashesOn: this.#part,
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
        }, RESTART_MS);
    }
}
