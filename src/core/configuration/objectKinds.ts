import type { ObjectKind } from "./objectKind.js";

/** All kinds of operator objects, each after the kinds that it refers to. */
export const objectKinds: readonly ObjectKind[] = [
    "regions",
    "dataCentres",
    "shares",
    "services",
    "clientAccounts",
    "targets",
];
