import type { CallerAdmission } from "./callerAdmission.js";
import type { LoadObserver } from "./loadObserver.js";
import type { LogSink } from "./logSink.js";
import type { MemoryGuard } from "./memoryGuard.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RoutingState } from "./routingState.js";
import type { ServicePool } from "./servicePool.js";

interface GaugeSources {
    readonly log: Pick<LogSink, "droppedTotal">;
    readonly state: Pick<RoutingState, "limits" | "crashRecord" | "pressure">;
    readonly loadObserver: Pick<LoadObserver, "loopDelayMs">;
    readonly memory: Pick<MemoryGuard, "budget" | "isScarce" | "residentBytes">;
    readonly countActive: () => number;
    readonly getConfigurationAgeMs: () => number;
    readonly countPeers: () => number;
    readonly countPromises: () => ReturnType<ServicePool["countPromises"]>;
    readonly getAdmission: () => Pick<CallerAdmission, "openConnections" | "acceptWaitMs"> | undefined;
}

/** Registers the gauges of a router. */
export function registerGauges(metrics: RouterMetrics, sources: GaugeSources): void {
    const { log, state: { limits, crashRecord, pressure }, loadObserver, memory } = sources;
    metrics.registerGauges({
        requests_active: sources.countActive,
        lag_ms: () => loadObserver.loopDelayMs,
        configuration_age_ms: sources.getConfigurationAgeMs,
        peers_live: sources.countPeers,
        connections_open: () => sources.getAdmission()?.openConnections ?? 0,
        accept_wait_ms: () => sources.getAdmission()?.acceptWaitMs ?? 0,
        unmet_tokens_per_second: () => pressure.sumUnmet(performance.now()),
        targets_limited: () => limits.limitedCount,
        prompt_parts_blocked: () => crashRecord.countBlocked("part"),
        requests_blocked: () => crashRecord.countBlocked("request"),
        promises_open: () => sources.countPromises().open,
        promises_kept: () => sources.countPromises().kept,
        promises_lapsed: () => sources.countPromises().lapsed,
        memory_scarce: () => Number(memory.isScarce),
        memory_resident_bytes: () => memory.residentBytes,
        memory_buffered_bytes: () => memory.budget.usedBytes,
        log_lines_dropped: () => log.droppedTotal,
    });
}
