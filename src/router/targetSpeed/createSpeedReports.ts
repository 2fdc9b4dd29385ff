import { describeSpeeds } from "../../core/targetSpeed/describeSpeeds.js";
import { SpeedReports } from "../../core/targetSpeed/speedReports.js";
import type { RouterMetrics } from "../routerMetrics.js";
import type { ServicePool } from "../servicePool.js";

interface CreateOptions {
    readonly metrics: Pick<RouterMetrics, "registerGauges">;
    readonly servicePool: Pick<ServicePool, "listSpeeds" | "adoptSpeed">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Creates the part of reports that shares the speeds of targets, and registers the gauges that show them. */
export function createSpeedReports({ metrics, servicePool, getNow }: CreateOptions): SpeedReports {
    const describe = (): ReturnType<typeof describeSpeeds> =>
        describeSpeeds(servicePool.listSpeeds(), getNow());
    metrics.registerGauges({
        targets_speed_known: () => describe().known,
        target_time_ratio_lowest: () => describe().lowest,
        target_time_ratio_highest: () => describe().highest,
    });
    return SpeedReports.create({
        listSpeeds: () => servicePool.listSpeeds(),
        onObservation: (id, observation, now) => servicePool.adoptSpeed(id, observation, now),
    });
}
