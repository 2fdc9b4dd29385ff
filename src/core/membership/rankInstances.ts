import murmurhash from "murmurhash";
import type { Instance } from "./instance.js";

/**
 * Returns the instances by their rank for the role or object `key`, highest first.
 *
 * @remarks Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
 */
export function rankInstances(key: string, instances: readonly Instance[]): readonly Instance[] {
    const weighted = instances.map(instance => ({
        instance,
        weight: murmurhash.v3(`${key}|${instance.name}`),
    }));
    weighted.sort((a, b) => b.weight - a.weight || (a.instance.name < b.instance.name ? -1 : 1));
    return weighted.map(entry => entry.instance);
}
