import type { Acknowledgement } from "./generated/baobabspread/peer/Acknowledgement.js";
import type { BorrowReply } from "./generated/baobabspread/peer/BorrowReply.js";
import type { BorrowRequest__Output } from "./generated/baobabspread/peer/BorrowRequest.js";
import type { ClaimHandover__Output } from "./generated/baobabspread/peer/ClaimHandover.js";
import type { ClaimReply } from "./generated/baobabspread/peer/ClaimReply.js";
import type { ClaimRequest__Output } from "./generated/baobabspread/peer/ClaimRequest.js";
import type { ConfigurationReply } from "./generated/baobabspread/peer/ConfigurationReply.js";
import type { ConfigurationRequest__Output } from "./generated/baobabspread/peer/ConfigurationRequest.js";
import type { CounterReply } from "./generated/baobabspread/peer/CounterReply.js";
import type { CounterReport__Output } from "./generated/baobabspread/peer/CounterReport.js";
import type { DemandReport__Output } from "./generated/baobabspread/peer/DemandReport.js";
import type { HoldingsReply } from "./generated/baobabspread/peer/HoldingsReply.js";
import type { HoldingsRequest__Output } from "./generated/baobabspread/peer/HoldingsRequest.js";
import type { LeaseState, LeaseState__Output } from "./generated/baobabspread/peer/LeaseState.js";
import type { LeavingNotice__Output } from "./generated/baobabspread/peer/LeavingNotice.js";
import type { SettleRequest__Output } from "./generated/baobabspread/peer/SettleRequest.js";

/** Handlers of the calls from peers, by gRPC method. A rejected promise becomes a gRPC error. */
export interface PeerHandlers {
    readonly ReportDemand: (message: DemandReport__Output) => Promise<LeaseState>;
    readonly PushLease: (message: LeaseState__Output) => Promise<Acknowledgement>;
    readonly BorrowSlots: (message: BorrowRequest__Output) => Promise<BorrowReply>;
    readonly ListHoldings: (message: HoldingsRequest__Output) => Promise<HoldingsReply>;
    readonly ExchangeCounters: (message: CounterReport__Output) => Promise<CounterReply>;
    readonly ClaimKey: (message: ClaimRequest__Output) => Promise<ClaimReply>;
    readonly SettleClaim: (message: SettleRequest__Output) => Promise<Acknowledgement>;
    readonly FetchConfiguration: (message: ConfigurationRequest__Output) => Promise<ConfigurationReply>;
    readonly AnnounceLeaving: (message: LeavingNotice__Output) => Promise<Acknowledgement>;
    readonly HandOverClaims: (message: ClaimHandover__Output) => Promise<Acknowledgement>;
}
