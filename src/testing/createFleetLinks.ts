import type { Configuration } from "../core/configuration/configuration.js";
import { FleetLinks } from "./fleetLinks.js";
import type { FleetOptions } from "./fleetOptions.js";
import type { FleetTargets } from "./fleetTargets.js";

/** Starts the fault proxy with the delays between the regions of a configuration. */
export function createFleetLinks(
    options: FleetOptions,
    configuration: Configuration,
    targets: FleetTargets,
    platform: string,
): Promise<FleetLinks> {
    const regions = new Map(configuration.dataCentres.map(centre => [centre.name, centre.region]));
    const dataCentres = new Map([
        ...Object.entries(options.instances),
        ...configuration.targets.map(target => [target.name, target.dataCentre] as const),
    ]);
    const getRegion = (name: string): string | undefined => regions.get(dataCentres.get(name) ?? "");
    return FleetLinks.create({
        daemons: Object.keys(options.instances),
        targets: Object.fromEntries(targets.names.map(name => [name, targets.getAddress(name)])),
        platform,
        getDelayMs: (from, to) => {
            const [a, b] = [getRegion(from), getRegion(to)];
            return a === undefined || b === undefined || a === b ? 0 : options.regionDelayMs ?? 0;
        },
    });
}
