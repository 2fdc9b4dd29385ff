import type { Logger } from "winston";
import type { Metrics } from "../../observability/metrics.js";
import type { ManagerEffect } from "./managerEffect.js";

/** Counts and logs an effect of the configuration manager. */
export function reportManagerEffect(effect: ManagerEffect, metrics: Metrics, logger: Logger): void {
    switch (effect.type) {
        case "adopted":
            metrics.count("configuration_events_total", { reason: "adopted" });
            logger.info("configuration-adopted", { revision: effect.bundle.revision });
            return;
        case "rejected":
            metrics.count("configuration_events_total", { reason: "rejected" });
            logger.warn("configuration-rejected", { ...effect.rejection });
            return;
        case "ignored":
            metrics.count("configuration_events_total", { reason: effect.reason });
            return;
        default:
            metrics.count("suspicions_total", { reason: effect.type });
            logger.info(`peer-${effect.type}`, { peer: effect.instance });
    }
}
