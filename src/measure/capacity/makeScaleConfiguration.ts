import type { Configuration } from "../../core/configuration/configuration.js";
import { configurationSchema } from "../../core/configuration/configurationSchema.js";
import { sortObjects } from "../../core/configuration/sortObjects.js";
import { hashText } from "../../shared/hashText.js";

const REGIONS = 3;
const DATA_CENTRES = 8;
const MODELS = 33;
const SHARES = 8;
/** Services that one account may use; the users give no figure. */
const SERVICES_PER_ACCOUNT = 3;

/** Makes a configuration like that of docs/design.md, "Expected scale in two years", in the given size. */
export function makeScaleConfiguration(accounts: number, targets: number): Configuration {
    return sortObjects(configurationSchema.parse({
        regions: makeObjects(REGIONS, index => ({ name: `region-${index}` })),
        dataCentres: makeObjects(DATA_CENTRES, index => ({
            name: `centre-${index}`,
            region: `region-${index % REGIONS}`,
        })),
        shares: makeObjects(SHARES, index => ({ name: `share-${index}`, weight: index + 1 })),
        clientAccounts: makeObjects(accounts, index => ({
            name: `account-${index}`,
            share: `share-${index % SHARES}`,
            keyDigests: [hashText(String(index))],
            services: makeObjects(SERVICES_PER_ACCOUNT, offset => `model-${(index + offset) % MODELS}`),
        })),
        services: makeObjects(MODELS, index => ({ name: `model-${index}`, kind: "model" })),
        targets: makeObjects(targets, index => ({
            name: `server-${index}`,
            service: `model-${index % MODELS}`,
            dataCentre: `centre-${index % DATA_CENTRES}`,
            url: `http://10.${index >> 16}.${(index >> 8) % 256}.${index % 256}:8000`,
            slotLimit: 64,
        })),
    }));
}

function makeObjects<T>(count: number, make: (index: number) => T): readonly T[] {
    return Array.from({ length: count }, (_, index) => make(index));
}
