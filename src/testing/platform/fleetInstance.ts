import type { ChildProcess } from "../childProcess.js";

/** One router process of a test fleet. */
export interface FleetInstance {
    readonly host: string;
    readonly settingsPath: string;
    process: ChildProcess;
    /** Processes that still stop while their successor runs. */
    readonly predecessors: ChildProcess[];
    isStarting: boolean;
    /** Functions that end the recorded impairments of the instance, once it runs again. */
    readonly endImpairments: (() => void)[];
}
