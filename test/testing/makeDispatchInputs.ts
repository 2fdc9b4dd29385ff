import { ConfigurationIndex } from "../../src/core/configuration/configurationIndex.js";
import { configurationSchema } from "../../src/core/configuration/configurationSchema.js";
import type { DispatchInputs } from "../../src/core/dispatch/dispatchInputs.js";

interface InputOptions {
    readonly now?: number;
    readonly accounts?: number;
    readonly queueLimit?: number;
    /** Normalised service by account. @default 0 for each */
    readonly normalizedServices?: Readonly<Record<string, number>>;
    /** Name of a data centre or target to take out of service. */
    readonly outOfService?: string;
    /** Highest normalised service among backlogged accounts. */
    readonly highestBacklogged?: number;
}

/** Creates the inputs of decisions in data centre `near`; `side` is in the same region, `far` in a remote one. */
export function makeDispatchInputs(options: InputOptions = {}): DispatchInputs {
    const { outOfService, normalizedServices = {} } = options;
    const isInService = (name: string): boolean => name !== outOfService;
    const index = ConfigurationIndex.create(configurationSchema.parse({
        regions: [{ name: "west" }, { name: "east" }],
        dataCentres: ["near", "side", "far"].map(name => ({
            name,
            region: name === "far" ? "east" : "west",
            inService: isInService(name),
        })),
        shares: [{ name: "standard", weight: 1 }],
        clientAccounts: Array.from({ length: options.accounts ?? 4 }, (_, account) => ({
            name: `account-${account}`,
            share: "standard",
            keyDigests: ["0".repeat(64)],
            services: ["desk"],
        })),
        services: [{ name: "desk", kind: "model", queueLimit: options.queueLimit ?? 50 }],
        targets: ["near", "side", "far"].map(name => ({
            name: `engine-${name}`,
            service: "desk",
            dataCentre: name,
            url: "http://127.0.0.1:1",
            slotLimit: 5,
            inService: isInService(`engine-${name}`),
        })),
    }));
    return {
        now: options.now ?? 0,
        index,
        dataCentre: "near",
        staticQuotas: new Map([["engine-near", 2], ["engine-side", 2], ["engine-far", 2]]),
        fairness: {
            getNormalizedService: account => normalizedServices[account] ?? 0,
            lowestBacklogged: undefined,
            highestBacklogged: options.highestBacklogged,
            remoteLagThreshold: 10_000,
        },
    };
}
