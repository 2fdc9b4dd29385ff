import { describeSpeeds } from "../../core/targetSpeed/describeSpeeds.js";
import type { LogSink } from "../logSink.js";
import type { ServicePool } from "../servicePool.js";

interface SpeedLogOptions {
    readonly log: Pick<LogSink, "write">;
    readonly servicePool: Pick<ServicePool, "listSpeeds" | "listActiveSpeedServices">;
}

const INTERVAL_MS = 10_000;
const DIGITS = 2;

/** Logs for which services the speeds of targets count, and a summary of the speeds from time to time. */
export class SpeedLog {
    readonly #options: SpeedLogOptions;
    #active: readonly string[] = [];
    #nextAt = 0;

    private constructor(options: SpeedLogOptions) {
        this.#options = options;
    }

    /** Creates a log that has written nothing. */
    static create(options: SpeedLogOptions): SpeedLog {
        return new SpeedLog(options);
    }

    /** Writes what is due at a monotonic time in milliseconds. */
    check(now: number): void {
        const { log, servicePool } = this.#options;
        const active = servicePool.listActiveSpeedServices();
        const changed = [
            ...active.filter(service => !this.#active.includes(service)),
            ...this.#active.filter(service => !active.includes(service)),
        ];
        this.#active = active;
        changed.forEach(service =>
            log.write("target-speeds-changed", { service, isActive: active.includes(service) })
        );
        if (active.length === 0 || now < this.#nextAt) {
            return;
        }
        this.#nextAt = now + INTERVAL_MS;
        const { lowest, highest, ...summary } = describeSpeeds(servicePool.listSpeeds(), now);
        log.write("target-speeds", {
            ...summary,
            lowest: Number(lowest.toFixed(DIGITS)),
            highest: Number(highest.toFixed(DIGITS)),
        });
    }
}
