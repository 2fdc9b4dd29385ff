import type { BorrowReply } from "../../transport/generated/baobabspread/peer/BorrowReply.js";
import type { BorrowRequest__Output } from "../../transport/generated/baobabspread/peer/BorrowRequest.js";
import type { DaemonContext } from "../daemonContext.js";

/** Lends this daemon's slots of each pool to one owner at a time. */
export class Lender {
    private constructor(_context: DaemonContext) {}

    /** Creates a lender that lends nothing until one lease term has passed. */
    static create(context: DaemonContext): Lender {
        return new Lender(context);
    }

    /** Answers an owner that wants to borrow or give back the slots of a pool. */
    handleBorrow(_request: BorrowRequest__Output): Promise<BorrowReply> {
        return Promise.resolve({ granted: false, reason: "starting" });
    }
}
