import type { PeerHandlers } from "../transport/peerHandlers.js";
import type { Accounting } from "./actors/accounting.js";
import type { ClaimHolder } from "./actors/claimHolder.js";
import type { ConfigurationKeeper } from "./actors/configurationKeeper.js";
import type { Dispatcher } from "./actors/dispatcher.js";
import type { Lender } from "./actors/lender.js";
import type { PoolOwner } from "./actors/poolOwner.js";

interface PeerActors {
    readonly keeper: ConfigurationKeeper;
    readonly dispatcher: Dispatcher;
    readonly owner: PoolOwner;
    readonly lender: Lender;
    readonly accounting: Accounting;
    readonly claims: ClaimHolder;
}

/** Creates the handlers that dispatch each call of a peer to the actor responsible for it. */
export function createPeerHandlers(actors: PeerActors): PeerHandlers {
    const { keeper, dispatcher, owner, lender, accounting, claims } = actors;
    return {
        ReportDemand: message => {
            keeper.observeIncarnation(message.instance, message.incarnation);
            return owner.handleDemand(message);
        },
        PushLease: message => dispatcher.handleLease(message),
        BorrowSlots: message => lender.handleBorrow(message),
        ListHoldings: message => dispatcher.handleHoldings(message),
        ExchangeCounters: message => {
            keeper.observeIncarnation(message.instance, message.incarnation);
            return accounting.handleReport(message);
        },
        ClaimKey: message => claims.handleClaim(message),
        SettleClaim: message => claims.handleSettle(message),
        HandOverClaims: message => claims.handleHandover(message),
        FetchConfiguration: message => keeper.handleFetch(message),
        AnnounceLeaving: message => {
            keeper.markLeaving(message.instance, message.incarnation);
            return Promise.resolve({ accepted: true });
        },
    };
}
