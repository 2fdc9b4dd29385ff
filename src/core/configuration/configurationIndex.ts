import type { ClientAccount } from "./clientAccount.js";
import type { Configuration } from "./configuration.js";
import type { DataCentre } from "./dataCentre.js";
import { hashName } from "./hashName.js";
import type { Service } from "./service.js";
import type { Target } from "./target.js";

/** Lookup tables over a configuration, built once for each adopted bundle. */
export class ConfigurationIndex {
    readonly configuration: Configuration;
    readonly accounts: ReadonlyMap<string, ClientAccount>;
    /** By the SHA-256 digest (hex) of a bearer key. */
    readonly accountsByKeyDigest: ReadonlyMap<string, ClientAccount>;
    /** Names by the 32-bit hash that stands for them between daemons; see `hashName`. */
    readonly accountNamesByHash: ReadonlyMap<number, string>;
    readonly services: ReadonlyMap<string, Service>;
    readonly serviceNamesByHash: ReadonlyMap<number, string>;
    readonly targets: ReadonlyMap<string, Target>;
    readonly targetNamesByHash: ReadonlyMap<number, string>;
    readonly dataCentres: ReadonlyMap<string, DataCentre>;
    readonly dataCentreNamesByHash: ReadonlyMap<number, string>;
    readonly #weights: ReadonlyMap<string, number>;
    readonly #pools: ReadonlyMap<string, readonly Target[]>;

    private constructor(configuration: Configuration) {
        this.configuration = configuration;
        this.accounts = mapByName(configuration.clientAccounts);
        this.accountsByKeyDigest = new Map(
            configuration.clientAccounts.flatMap(account =>
                account.keyDigests.map(digest => [digest, account] as const)
            ),
        );
        this.accountNamesByHash = mapByHash(configuration.clientAccounts);
        this.services = mapByName(configuration.services);
        this.serviceNamesByHash = mapByHash(configuration.services);
        this.targets = mapByName(configuration.targets);
        this.targetNamesByHash = mapByHash(configuration.targets);
        this.dataCentres = mapByName(configuration.dataCentres);
        this.dataCentreNamesByHash = mapByHash(configuration.dataCentres);
        this.#weights = new Map(configuration.shares.map(share => [share.name, share.weight]));
        this.#pools = mapByPool(configuration.targets);
    }

    /** Builds the tables of a validated configuration. */
    static create(configuration: Configuration): ConfigurationIndex {
        return new ConfigurationIndex(configuration);
    }

    /** Returns the weight of an account's share; 1 for an account that is not configured. */
    getWeight(account: string): number {
        return this.#weights.get(this.accounts.get(account)?.share ?? "") ?? 1;
    }

    /** Returns all targets of a service in a data centre, including those out of service. */
    getPool(service: string, dataCentre: string): readonly Target[] {
        return this.#pools.get(`${service}@${dataCentre}`) ?? [];
    }

    /** True if the target and its data centre may get new work. */
    isInService(target: Target): boolean {
        return target.inService && (this.dataCentres.get(target.dataCentre)?.inService ?? false);
    }
}

function mapByName<T extends { readonly name: string; }>(objects: readonly T[]): ReadonlyMap<string, T> {
    return new Map(objects.map(object => [object.name, object]));
}

function mapByHash(objects: readonly { readonly name: string; }[]): ReadonlyMap<number, string> {
    return new Map(objects.map(object => [hashName(object.name), object.name]));
}

function mapByPool(targets: readonly Target[]): ReadonlyMap<string, readonly Target[]> {
    const pools = new Map<string, Target[]>();
    for (const target of targets) {
        const key = `${target.service}@${target.dataCentre}`;
        const pool = pools.get(key);
        if (pool) {
            pool.push(target);
            continue;
        }
        pools.set(key, [target]);
    }
    return pools;
}
