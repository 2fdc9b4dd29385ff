import type { FleetOptions } from "./fleetOptions.js";

/** Size of a test fleet like the Tâf Co-op's. */
export interface FleetShape {
    /** Client accounts by name, with the weight of their share. */
    readonly accounts: Readonly<Record<string, number>>;
    /** @default 7 */
    readonly instances?: number;
    /** @default 12 */
    readonly engines?: number;
    /** Slots of one engine; the policy `local` needs at least one for each instance. @default 8 */
    readonly engineSlots?: number;
    /** @default 1 */
    readonly engineColdLimit?: number;
    /** Targets of the plain service. @default 3 */
    readonly plainServers?: number;
    /** Slots of one target of the plain service. @default 8 */
    readonly plainSlots?: number;
    /** Every target refuses outdated fencing numbers. @default false */
    readonly checksFencing?: boolean;
    /** Most requests that one account may have waiting at one instance. @default 200 */
    readonly queueLimit?: number;
    /** Further options of the fleet, which take precedence. */
    readonly fleet?: Partial<FleetOptions>;
}
