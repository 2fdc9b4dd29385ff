import type { LimitBreach } from "../standIns/target/limitBreach.js";

/** Counts of a target stand-in since its start. */
export interface TargetSummary {
    readonly name: string;
    readonly state: "cold" | "warm";
    readonly running: number;
    readonly bearable: number;
    readonly arrivals: number;
    readonly tokens: number;
    /** Highest number of concurrent requests. */
    readonly peak: number;
    /** Requests that arrived over the limit, and those of them from before the target showed that it was cold. */
    readonly breaches: number;
    readonly breachesBeforeNotice: number;
    readonly breachRecords: readonly LimitBreach[];
    readonly timesFallen: number;
    readonly busyMs: number;
}
