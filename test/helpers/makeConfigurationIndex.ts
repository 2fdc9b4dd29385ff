import { ConfigurationIndex } from "../../src/core/configuration/configurationIndex.js";
import { configurationSchema } from "../../src/core/configuration/configurationSchema.js";
import { hashText } from "../../src/shared/hashText.js";

/** Builds an index with three services; the account `capel` (key `capel-key`) may use all but `secret`. */
export function makeConfigurationIndex(outOfService: readonly string[] = []): ConfigurationIndex {
    const regionByDataCentre = { "caerdydd-a": "de-cymru", "caerdydd-b": "de-cymru", "bangor-a": "gogledd" };
    return ConfigurationIndex.create(configurationSchema.parse({
        regions: [{ name: "de-cymru" }, { name: "gogledd" }],
        dataCentres: Object.entries(regionByDataCentre).map(([name, region]) => ({
            name,
            region,
            inService: !outOfService.includes(name),
        })),
        shares: [{ name: "standard", weight: 1 }],
        clientAccounts: [{
            name: "capel",
            share: "standard",
            keyDigests: [hashText("capel-key")],
            services: ["model-desk", "order-book"],
        }],
        services: [
            { name: "model-desk", kind: "model", maxBodyBytes: 2000 },
            { name: "order-book", kind: "plain", maxBodyBytes: 1000, nonRepeatableMethods: ["POST"] },
            { name: "secret", kind: "plain", nonRepeatableMethods: [] },
        ],
        targets: [],
    }));
}
