import type { Configuration } from "./configuration.js";

/** Sorts the objects of each kind by name, which is their canonical order. */
export function sortObjects(configuration: Configuration): Configuration {
    return {
        regions: sortByName(configuration.regions),
        dataCentres: sortByName(configuration.dataCentres),
        shares: sortByName(configuration.shares),
        clientAccounts: sortByName(configuration.clientAccounts),
        services: sortByName(configuration.services),
        targets: sortByName(configuration.targets),
    };
}

function sortByName<T extends { readonly name: string; }>(objects: readonly T[]): readonly T[] {
    return [...objects].sort((a, b) => (a.name < b.name ? -1 : 1));
}
