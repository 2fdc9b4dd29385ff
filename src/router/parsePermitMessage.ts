import { messageChecks } from "./messageChecks.js";
import type { PermitMessage } from "./permitMessage.js";

/**
 * Validates a datagram of a coordinator. Returns `undefined` if it carries no permits.
 *
 * @param timeOfDay Unix milliseconds.
 */
export function parsePermitMessage(message: unknown, timeOfDay: number): PermitMessage | undefined {
    const { isListOf, isTuple, isText, isCount, isMember, getLatestIncarnation } = messageChecks;
    const { scope, sender, permits } = (message ?? {}) as Partial<PermitMessage>;
    const isValid = scope === "permits" && isMember(sender, getLatestIncarnation(timeOfDay))
        && isListOf(permits, permit => isTuple(permit, [isText, isCount]));
    return isValid ? message as PermitMessage : undefined;
}
