import type { Acknowledgement } from "../../transport/generated/baobabspread/peer/Acknowledgement.js";
import type { ClaimReply } from "../../transport/generated/baobabspread/peer/ClaimReply.js";
import type { ClaimRequest__Output } from "../../transport/generated/baobabspread/peer/ClaimRequest.js";
import type { SettleRequest__Output } from "../../transport/generated/baobabspread/peer/SettleRequest.js";
import type { DaemonContext } from "../daemonContext.js";

/** Remembers which idempotency keys were claimed. */
export class ClaimHolder {
    private constructor(_context: DaemonContext) {}

    /** Creates a holder without claims. */
    static create(context: DaemonContext): ClaimHolder {
        return new ClaimHolder(context);
    }

    /** Grants a key to one attempt, or says why not. */
    handleClaim(_request: ClaimRequest__Output): Promise<ClaimReply> {
        return Promise.resolve({ verdict: "cannot-vouch" });
    }

    /** Records how a claimed attempt ended. */
    handleSettle(_request: SettleRequest__Output): Promise<Acknowledgement> {
        return Promise.resolve({ accepted: false });
    }
}
