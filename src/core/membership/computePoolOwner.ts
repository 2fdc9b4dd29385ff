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
 * Returns the owner of a pool: the first rank among the instances of its data centre that are not excluded. If the
 * data centre has none, the instances of its region and then of the fleet are ranked.
 */
export function computePoolOwner(input: PoolOwnerInput): Instance | undefined {
    const region = input.dataCentres.get(input.dataCentre)?.region;
    const circles = [
        (instance: Instance) => instance.dataCentre === input.dataCentre,
        (instance: Instance) =>
            region !== undefined && input.dataCentres.get(instance.dataCentre)?.region === region,
        () => true,
    ];
    for (const isInside of circles) {
        const members = input.instances.filter(instance =>
            isInside(instance) && !input.excluded.has(instance.name)
        );
        if (members.length > 0) {
            return rankInstances(`pool:${input.service}@${input.dataCentre}`, members)[0];
        }
    }
    return undefined;
}
