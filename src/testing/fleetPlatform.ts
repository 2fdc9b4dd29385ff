import type { PlatformFault } from "../standIns/platform/platformFault.js";
import { ChildProcess } from "./childProcess.js";
import { sendControl } from "./sendControl.js";

/** The platform stand-in of a fleet. */
export class FleetPlatform {
    readonly #process: ChildProcess;

    private constructor(process: ChildProcess) {
        this.#process = process;
    }

    /** Starts the process. */
    static async create(): Promise<FleetPlatform> {
        return new FleetPlatform(
            await ChildProcess.create(new URL("../standIns/platform/main.js", import.meta.url), []),
        );
    }

    /** Address of the platform, host:port. */
    get address(): string {
        return this.#process.address;
    }

    /** Publishes any value under a name, valid or not. */
    async publish(name: "configuration" | "instances", value: object): Promise<void> {
        await sendControl(this.address, "PUT", name, value);
    }

    /** Sets or ends faults. */
    async setFault(fault: PlatformFault): Promise<void> {
        await sendControl(this.address, "POST", "faults", fault);
    }

    /** Number of calls so far; a waiting watch counts once. */
    async readCalls(): Promise<number> {
        return (await sendControl<{ calls: number; }>(this.address, "GET", "calls")).calls;
    }

    /** Ends the process. */
    async close(): Promise<void> {
        await this.#process.stop("SIGKILL");
    }
}
