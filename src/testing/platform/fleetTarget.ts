import type { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import type { CooperativeTarget } from "../../standIns/platform/cooperative/cooperativeTarget.js";

/** Stand-in of a target in a test fleet, which instances reach through a fault link. */
export interface FleetTarget {
    readonly target: CooperativeTarget;
    readonly service: "engine" | "plain" | "spare";
    readonly link: FaultLink;
    /** host:port of the link. */
    readonly address: string;
    /** Newest report of the target to the store. */
    registration: { readonly state: "ready" | "draining" | "removed"; readonly sequence: number; };
}
