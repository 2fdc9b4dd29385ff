import type { ResponseSizes } from "./responseSizes.js";
import type { SpillMember } from "./spillMember.js";
import type { SpillRecord } from "./spillRecord.js";
import type { SpillSettings } from "./spillSettings.js";
import type { SummaryRecord } from "./summaryRecord.js";

/** What the spill of all services of an instance depends on. */
export interface SpillInputs {
    readonly settings: SpillSettings;
    readonly instance: string;
    readonly responseSizes: ResponseSizes;
    readonly summaries: SummaryRecord;
    /** Lists the live instances, with this one; `undefined` while a starting instance does not know them yet. */
    readonly listMembers: () => readonly SpillMember[] | undefined;
    /** Called when a request of a service leaves the data centre. */
    readonly onLeft?: (service: string, record: SpillRecord) => void;
}
