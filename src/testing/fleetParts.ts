import type { Configuration } from "../core/configuration/configuration.js";
import type { FleetLinks } from "./fleetLinks.js";
import type { FleetOptions } from "./fleetOptions.js";
import type { FleetPlatform } from "./fleetPlatform.js";
import type { FleetTargets } from "./fleetTargets.js";

/** What a test fleet is created from. */
export interface FleetParts {
    readonly options: FleetOptions;
    readonly directory: string;
    readonly platform: FleetPlatform;
    readonly targets: FleetTargets;
    readonly links: FleetLinks | undefined;
    readonly configuration: Configuration;
}
