import type { Configuration } from "../core/configuration/configuration.js";
import type { FleetLinks } from "./fleetLinks.js";
import type { FleetOptions } from "./fleetOptions.js";
import type { FleetPlatform } from "./fleetPlatform.js";
import type { FleetTargets } from "./fleetTargets.js";

/** Options, stand-ins and initial configuration of a test fleet. */
export interface FleetParts {
    readonly options: FleetOptions;
    readonly directory: string;
    readonly platform: FleetPlatform;
    readonly targets: FleetTargets;
    readonly links: FleetLinks | undefined;
    readonly configuration: Configuration;
}
