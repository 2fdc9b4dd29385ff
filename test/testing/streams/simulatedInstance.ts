import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import type { RouterConfiguration } from "../../../src/core/routing/routerConfiguration.js";
import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import type { StreamOrigins } from "../../../src/router/streamOrigins.js";

/** An instance with what it has read of the store. */
export interface SimulatedInstance {
    readonly member: MemberRecord;
    /** `undefined` while the process is down. */
    origins: StreamOrigins | undefined;
    targets: readonly TargetDescriptor[];
    configuration: RouterConfiguration | undefined;
    readSentAt: number;
    /** Start of the process, or its end if it is down. */
    changedAt: number;
}
