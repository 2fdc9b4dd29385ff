import type { AnySpecification } from "./anySpecification.js";
import { claimSpecification } from "./claimSpecification.js";
import { configurationSpecification } from "./configurationSpecification.js";
import { slotFaults } from "./slotFaults.js";
import { slotOwnership } from "./slotOwnership.js";
import { slotOwnershipFaults } from "./slotOwnershipFaults.js";

/** Every specification that `npm run model` checks. */
export const specifications: readonly AnySpecification[] = [
    slotOwnership,
    slotFaults,
    slotOwnershipFaults,
    claimSpecification,
    configurationSpecification,
];
