import type { DataCentre } from "../configuration/dataCentre.js";
import type { Instance } from "./instance.js";
import { rankInstances } from "./rankInstances.js";

interface PoolOwnerInput {
    readonly service: string;
    readonly dataCentre: string;
    readonly instances: readonly Instance[];
    readonly dataCentres: ReadonlyMap<string, DataCentre>;
    /** Instances that cannot own the pool: suspected, leaving, or unreachable a moment ago. */
    readonly excluded: ReadonlySet<string>;
}

/**
 * Returns the owner of a pool: the first rank that is not excluded among the live instances of its data centre. If
 * the data centre has no live instance, those of its region and then of the fleet are ranked. If all
 * are excluded there is no owner: the lenders are the same instances, so another owner could borrow nothing.
 */
export function computePoolOwner(input: PoolOwnerInput): Instance | undefined {
    const region = input.dataCentres.get(input.dataCentre)?.region;
    const live = input.instances.filter(instance => instance.state === "live");
    const circles = [
        live.filter(instance => instance.dataCentre === input.dataCentre),
        live.filter(instance =>
            region !== undefined && input.dataCentres.get(instance.dataCentre)?.region === region
        ),
        live,
    ];
    const members = circles.find(circle => circle.length > 0) ?? [];
    return rankInstances(`pool:${input.service}@${input.dataCentre}`, members)
        .find(instance => !input.excluded.has(instance.name));
}
