import type { PeerHandlers } from "../transport/peerHandlers.js";
import type { Accounting } from "./actors/accounting.js";
import type { ClaimHolder } from "./actors/claimHolder.js";
import type { ConfigurationManager } from "./actors/configurationManager.js";
import type { Dispatcher } from "./actors/dispatcher.js";
import type { Lender } from "./actors/lender.js";
import type { PoolOwner } from "./actors/poolOwner.js";

interface PeerActors {
    readonly configurationManager: ConfigurationManager;
    readonly dispatcher: Dispatcher;
    readonly poolOwner: PoolOwner;
    readonly lender: Lender;
    readonly accounting: Accounting;
    readonly claimHolder: ClaimHolder;
}

/** Creates the handlers that dispatch each call of a peer to the actor responsible for it. */
export function createPeerHandlers(actors: PeerActors): PeerHandlers {
    const { configurationManager, dispatcher, poolOwner, lender, accounting, claimHolder } = actors;
    return {
        ReportDemand: message => {
            configurationManager.observeIncarnation(message.instance, message.incarnation);
            return poolOwner.handleDemand(message);
        },
        PushLease: message => dispatcher.handleLease(message),
        BorrowSlots: message => lender.handleBorrow(message),
        ListHoldings: message => dispatcher.handleHoldings(message),
        ExchangeCounters: message => {
            configurationManager.observeIncarnation(message.instance, message.incarnation);
            return accounting.handleReport(message);
        },
        ClaimKey: message => claimHolder.handleClaim(message),
        SettleClaim: message => claimHolder.handleSettle(message),
        HandOverClaims: message => claimHolder.handleHandover(message),
        FetchConfiguration: message => configurationManager.handleFetch(message),
        AnnounceLeaving: message => {
            configurationManager.markLeaving(message.instance, message.incarnation);
            return Promise.resolve({ accepted: true });
        },
    };
}
