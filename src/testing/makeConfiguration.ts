import type { Configuration } from "../core/configuration/configuration.js";
import { configurationSchema } from "../core/configuration/configurationSchema.js";

/** Returns a small valid configuration with defaults filled in, then changed as given. */
export function makeConfiguration(change: Partial<Configuration> = {}): Configuration {
    return {
        ...configurationSchema.parse({
            regions: [{ name: "de-cymru" }],
            dataCentres: [{ name: "caerdydd-a", region: "de-cymru" }],
            shares: [{ name: "standard", weight: 1 }],
            clientAccounts: [{
                name: "capel",
                share: "standard",
                keyDigests: ["a".repeat(64)],
                services: ["model-desk"],
            }],
            services: [{ name: "model-desk", kind: "model" }],
            targets: [{
                name: "engine-0",
                service: "model-desk",
                dataCentre: "caerdydd-a",
                url: "http://10.0.0.1:8000",
                slotLimit: 8,
            }],
        }),
        ...change,
    };
}
