import type { MethodDefinition } from "@grpc/grpc-js";
import { v7 as createUuid } from "uuid";
import { loadPeerDefinition } from "../../transport/loadPeerDefinition.js";
import type { PeerCalls } from "../../transport/peerCalls.js";

interface MessageSizes {
    readonly borrowBytes: number;
    readonly loanBytes: number;
    readonly holdingsRequestBytes: number;
    readonly holdingsReplyBytes: number;
    readonly claimBytes: number;
    readonly settleBytes: number;
    readonly checkBytes: number;
}

const FRAMING_BYTES = 14;
const service = loadPeerDefinition().service as unknown as Readonly<
    Record<keyof PeerCalls, MethodDefinition<object, object>>
>;

/**
 * Returns the encoded sizes of the smaller peer messages in bytes, framing included.
 *
 * @param targets Number of targets in the messages that list targets.
 */
export function encodeSizes(targets: number): MessageSizes {
    const [instance, incarnation, key] = ["daemon-1000", createUuid(), createUuid()];
    const pool = { service: 0x9e3779b1, dataCentre: 0x85ebca6b };
    const getLength = (method: keyof PeerCalls, value: object): number =>
        service[method].requestSerialize(value).length + FRAMING_BYTES;
    const getReplyLength = (method: keyof PeerCalls, value: object): number =>
        service[method].responseSerialize(value).length + FRAMING_BYTES;
    const names = Array.from({ length: targets }, (_, index) => Math.imul(index + 1, 2_654_435_761) >>> 0);
    return {
        borrowBytes: getLength("BorrowSlots", { pool, owner: instance, ownerIncarnation: incarnation }),
        loanBytes: getReplyLength("BorrowSlots", {
            granted: true,
            slots: names.map(target => ({ target, slots: 13 })),
            remainingMs: 2000,
            reason: "granted",
        }),
        holdingsRequestBytes: getLength("ListHoldings", { pool }),
        holdingsReplyBytes: getReplyLength("ListHoldings", {
            instance,
            incarnation,
            holdings: names.map(target => ({ target, held: 3, inUse: 2, fencingNumber: Date.now() * 1024 })),
        }),
        claimBytes: getLength("ClaimKey", {
            key,
            account: "account-1000",
            attempt: createUuid(),
            issuer: instance,
            instanceListRevision: 1000,
        }) + getReplyLength("ClaimKey", { verdict: "granted" }),
        settleBytes: getLength("SettleClaim", {
            key,
            attempt: createUuid(),
            result: "run",
            account: "account-1000",
        }) + getReplyLength("SettleClaim", { accepted: true }),
        checkBytes: getLength("FetchConfiguration", {
            knownRevision: 22_000,
            knownDigest: "0".repeat(64),
            knownInstanceListRevision: 1000,
        }) + getReplyLength("FetchConfiguration", {
            revision: 22_000,
            digest: "0".repeat(64),
            form: "none",
            instanceListRevision: 1000,
        }),
    };
}
