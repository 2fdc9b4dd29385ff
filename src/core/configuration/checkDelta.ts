import type { AcceptedBundle } from "./acceptedBundle.js";
import { applyConfigurationDelta } from "./applyConfigurationDelta.js";
import type { BundleCheck } from "./bundleCheck.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import { configurationSchema } from "./configurationSchema.js";
import type { ConfigurationVersion } from "./configurationVersion.js";
import { listReferenceFaults } from "./listReferenceFaults.js";
import { listSizeFaults } from "./listSizeFaults.js";
import { objectKinds } from "./objectKinds.js";
import { serializeConfiguration } from "./serializeConfiguration.js";

/**
 * Checks the bundle that results from a delta of another daemon. Only changed objects are parsed, since
 * those of the base passed an earlier check; references, size and digest are checked for the whole
 * configuration.
 *
 * @param hashText SHA-256 of a UTF-8 text, in hex.
 */
export function checkDelta(
    base: AcceptedBundle,
    delta: ConfigurationDelta,
    version: ConfigurationVersion,
    hashText: (text: string) => string,
): BundleCheck {
    const configuration = applyConfigurationDelta(base.configuration, delta);
    const actual = hashText(serializeConfiguration(configuration));
    const parsed = configurationSchema.safeParse(
        Object.fromEntries(objectKinds.map(kind => [
            kind,
            delta.flatMap(change => change.kind === kind && change.value ? [change.value] : []),
        ])),
    );
    const effective = parsed.data && applyConfigurationDelta(
        base.effective,
        delta.map(change => ({
            ...change,
            ...findParsed(parsed.data[change.kind], change.name),
        })),
    );
    const faults = [
        ...(actual === version.digest ? [] : [`digest: the configuration has the digest ${actual}`]),
        ...(parsed.error?.issues ?? []).map(issue => `changed ${issue.path.join(".")}: ${issue.message}`),
        ...listReferenceFaults(configuration),
        ...(effective ? listSizeFaults(effective) : []),
    ];
    return {
        version,
        bundle: effective && faults.length === 0 ? { ...version, configuration, effective } : undefined,
        faults,
    };
}

function findParsed(
    objects: readonly { readonly name: string; }[],
    name: string,
): { readonly value?: { readonly name: string; readonly [field: string]: unknown; }; } {
    const object = objects.find(candidate => candidate.name === name);
    return object ? { value: { ...object } } : {};
}
