import { gzipSync } from "node:zlib";
import type { AcceptedBundle } from "../../core/configuration/acceptedBundle.js";
import { buildBundle } from "../../core/configuration/buildBundle.js";
import { checkBundle } from "../../core/configuration/checkBundle.js";
import { checkDelta } from "../../core/configuration/checkDelta.js";
import type { ConfigurationBundle } from "../../core/configuration/configurationBundle.js";
import { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { configurationSchema } from "../../core/configuration/configurationSchema.js";
import { diffConfiguration } from "../../core/configuration/diffConfiguration.js";
import { hashText } from "../../shared/hashText.js";
import { makeScaleConfiguration } from "./makeScaleConfiguration.js";
import { measureHeap } from "./measureHeap.js";
import { measureProcessorTime } from "./measureProcessorTime.js";

interface BundleCost {
    readonly bundleBytes: number;
    readonly gzipBytes: number;
    readonly deltaBytes: number;
    /** Processor time in milliseconds of checking a full bundle, checking a delta, and building the index. */
    readonly checkMs: number;
    readonly deltaMs: number;
    readonly indexMs: number;
    /** Heap bytes of an accepted bundle and its index. */
    readonly heapBytes: number;
}

/** Measures the cost of a configuration with a number of accounts and targets, and of changing one account. */
export function measureBundle(accounts: number, targets: number, seconds: number): BundleCost {
    const configuration = makeScaleConfiguration(accounts, targets);
    const text = JSON.stringify(buildBundle(configuration, 1, hashText));
    // Bypasses `checkBundle`, which rejects bundles above 1 MB, so that larger ones can be measured too.
    const load = (): AcceptedBundle => {
        const parsed = JSON.parse(text) as ConfigurationBundle;
        return { ...parsed, effective: configurationSchema.parse(parsed.configuration) };
    };
    const base = load();
    const changed = buildBundle(
        {
            ...configuration,
            clientAccounts: configuration.clientAccounts.map((account, index) =>
                index === 0 ? { ...account, keyDigests: [hashText("changed")] } : account
            ),
        },
        2,
        hashText,
    );
    const delta = diffConfiguration(base.configuration, changed.configuration);
    const version = { revision: 2, digest: changed.digest };
    return {
        bundleBytes: text.length,
        gzipBytes: gzipSync(text).length,
        deltaBytes: JSON.stringify(delta).length,
        checkMs: measureProcessorTime(seconds, () => checkBundle(JSON.parse(text), hashText)) / 1000,
        deltaMs: measureProcessorTime(seconds, () => checkDelta(base, delta, version, hashText)) / 1000,
        indexMs: measureProcessorTime(seconds, () => ConfigurationIndex.create(base.effective)) / 1000,
        heapBytes: measureHeap(() => {
            const bundle = load();
            return [bundle, ConfigurationIndex.create(bundle.effective)];
        }),
    };
}
