import type { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { SummaryRecord } from "../../../src/core/spill/summaryRecord.js";

type DataCentre = "a" | "b" | "c";

interface Instance {
    readonly name: string;
    readonly dataCentre: DataCentre;
    scheduler: ServiceScheduler;
    summaries: SummaryRecord;
    startedAt: number;
}

interface Outcomes {
    offered: number;
    onTime: number;
    refused: number;
    /** Requests that left, in each second, by data centre. */
    readonly left: Record<DataCentre, number[]>;
}

/** Instances and engines that a load is played on, and what came of it. */
export interface SpillFleet {
    readonly instances: readonly Instance[];
    readonly targets: { id: string; dataCentre: DataCentre; coldUntil: number; isDraining: boolean; }[];
    evacuated: Set<string>;
    readonly outcomes: Record<DataCentre, Outcomes>;
    /** Largest queue in milliseconds that a target of a data centre had. */
    readonly peakQueueMs: Record<DataCentre, number>;
    setTargets: (now: number) => void;
    restart: (name: string, now: number) => void;
}
