import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import type { Service } from "../../core/configuration/service.js";
import { RequestError } from "../../core/errors/requestError.js";

/**
 * Finds a service by kind and name and checks that the account may use it.
 *
 * @throws RequestError `unknown-service` or `service-forbidden`
 */
export function resolveService(
    index: ConfigurationIndex,
    account: ClientAccount,
    kind: Service["kind"],
    name: string,
): Service {
    const service = index.services.get(name);
    if (service?.kind !== kind) {
        throw RequestError.create("unknown-service", `There is no ${kind} service of this name.`);
    }
    if (!account.services.includes(name)) {
        throw RequestError.create("service-forbidden", `${account.name} may not use ${name}.`);
    }
    return service;
}
