import type { ConfigurationRejection } from "../configuration/configurationRejection.js";
import type { ConfigurationVersion } from "../configuration/configurationVersion.js";
import type { Instance } from "../membership/instance.js";

interface InstanceStatus extends Instance {
    readonly suspected: boolean;
    /** Listed as leaving, or announced it. */
    readonly leaving: boolean;
}

/** Response of a daemon at `/v1/status`; other parts of the daemon add sections under their own names. */
export interface StatusReport {
    readonly instance: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    /** ISO 8601. */
    readonly startedAt: string;
    /** What the daemon lacks to be ready; empty if it is ready. */
    readonly notReady: readonly string[];
    readonly configuration: ConfigurationVersion | undefined;
    /** -1 before the first list. */
    readonly instanceListRevision: number;
    readonly lastRejection: ConfigurationRejection | undefined;
    /** True if the daemon watches the platform at present. */
    readonly watchesPlatform: boolean;
    readonly instances: readonly InstanceStatus[];
    readonly sections: Readonly<Record<string, unknown>>;
}
