import type { AccountShares } from "../routing/accountShares.js";
import type { CapacityClass } from "./capacityClass.js";

type ShareKind = ReturnType<AccountShares["getStatus"]>["kind"];

/**
 * Returns the capacity that requests of an account may use. Those over a share keep to the targets that have their prompts only
 * while others lack capacity: reading a prompt once more takes time from these.
 */
export function pickCapacityClass(kind: ShareKind): CapacityClass {
    if (kind === "within") {
        return "any";
    }
    return kind === "surplus" ? "idle" : "idle-cached";
}
