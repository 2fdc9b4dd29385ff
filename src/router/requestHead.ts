import type { RequestAttributes } from "../core/routing/requestAttributes.js";

/** Attributes of a caller's request that its headers give. */
export interface RequestHead extends RequestAttributes {
    /** Headers to forward, as a flat list of names and values. */
    readonly forwardedHeaders: readonly string[];
}
