import type { ConfigurationVersion } from "./configurationVersion.js";

/** Orders bundles by revision, then digest: negative if `a` is lower, 0 if equal, positive if higher. */
export function compareVersions(a: ConfigurationVersion, b: ConfigurationVersion): number {
    if (a.revision !== b.revision) {
        return a.revision - b.revision;
    }
    if (a.digest === b.digest) {
        return 0;
    }
    return a.digest < b.digest ? -1 : 1;
}
