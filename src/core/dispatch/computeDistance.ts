import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import type { Distance } from "./distance.js";

/** Returns the distance between two data centres. */
export function computeDistance(index: ConfigurationIndex, from: string, to: string): Distance {
    if (from === to) {
        return 0;
    }
    const region = index.dataCentres.get(from)?.region;
    return region !== undefined && region === index.dataCentres.get(to)?.region ? 1 : 2;
}
