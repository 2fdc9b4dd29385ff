import { TargetNotices } from "../../src/core/routing/targetNotices.js";

/** Creates a record without notices, which reports nothing. */
export function createTargetNotices(): TargetNotices {
    return TargetNotices.create({ onNotice: () => undefined, onUnusual: () => undefined });
}
