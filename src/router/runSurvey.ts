import { Agent } from "node:http";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { pickRandom } from "../shared/pickRandom.js";
import { fetchJson } from "./fetchJson.js";
import type { LogSink } from "./logSink.js";
import type { StreamOrigins } from "./streamOrigins.js";
import type { WireFormat } from "./wireFormat.js";

interface RunSurveyOptions {
    readonly wire: Pick<WireFormat, "buildStartQuestion" | "readRuns">;
    readonly log: Pick<LogSink, "write">;
    readonly streamOrigins: Pick<StreamOrigins, "services" | "recordRuns">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Bounds what the start of many instances at once costs each target. */
const MAX_TARGETS = 32;
const TIMEOUT_MS = 800;

/**
 * Asks the targets once, after the start of this instance, which requests they run. Streams of instances that have lost
 * power go on at their targets for a while, and all runs of a stream have the version that began it.
 */
export class RunSurvey {
    readonly #options: RunSurveyOptions;
    #hasStarted = false;

    private constructor(options: RunSurveyOptions) {
        this.#options = options;
    }

    /** Creates a survey; the first list of targets starts it. */
    static create(options: RunSurveyOptions): RunSurvey {
        return new RunSurvey(options);
    }

    /** Asks the targets at which streams begin that may be taken up, unless that has been done. */
    observeTargets(targets: readonly TargetDescriptor[]): void {
        const { log, streamOrigins } = this.#options;
        const services = streamOrigins.services.filter(service =>
            // A stream that began at a target without a version may run at another version, too.
            targets.every(target => target.service !== service || target.version !== undefined)
        );
        const asked = targets.filter(({ service }) => services.includes(service));
        if (this.#hasStarted || asked.length === 0) {
            return;
        }
        this.#hasStarted = true;
        const agent = new Agent({ keepAlive: false });
        void Promise.all(pickRandom(asked, MAX_TARGETS).map(target => this.#readRuns(target, agent))).then(
            counts =>
                log.write("runs-surveyed", {
                    targets: counts.length,
                    unknown: counts.filter(count => count === undefined).length,
                    runs: counts.reduce<number>((sum, count) => sum + (count ?? 0), 0),
                }),
        );
    }

    /** Returns the number of runs; `undefined` if they are not known. */
    async #readRuns(target: TargetDescriptor, agent: Agent): Promise<number | undefined> {
        const { wire, log, streamOrigins, getNow } = this.#options;
        const { id, address, service, version, startedAtMs } = target;
        const separator = address.lastIndexOf(":");
        const { path, headers } = wire.buildStartQuestion(target);
        try {
            const report = await fetchJson({
                host: address.slice(0, separator),
                port: Number(address.slice(separator + 1)),
                path,
                headers,
                agent,
                timeoutMs: TIMEOUT_MS,
            });
            const runs = wire.readRuns(report);
            // Another start of the target may have another version than the one that is listed.
            if (runs?.startedAtMs !== startedAtMs || version === undefined) {
                return undefined;
            }
            streamOrigins.recordRuns({ service, version }, runs.requestIds, getNow());
            return runs.requestIds.length;
        }
        catch (error) {
            log.write("runs-unknown", { target: id, reason: String(error) });
            return undefined;
        }
    }
}
