import type { ObjectKind } from "./objectKind.js";

/** One object that was added, changed or removed. */
export interface ConfigurationChange {
    readonly kind: ObjectKind;
    readonly name: string;
    /** The whole new object; absent if it was removed. */
    readonly value?: { readonly name: string; readonly [field: string]: unknown; };
}
