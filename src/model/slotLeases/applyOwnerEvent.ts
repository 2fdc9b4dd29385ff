import { applyLedgerEvent } from "../../core/lease/applyLedgerEvent.js";
import { buildLeaseState } from "../../core/lease/buildLeaseState.js";
import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { LedgerPolicy } from "../../core/lease/ledgerPolicy.js";
import { pickLowestService } from "../../core/lease/pickLowestService.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";
import type { ModelMessage } from "./modelMessage.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { targetName } from "./targetName.js";

interface OwnerResult {
    readonly state: ModelState;
    /** Lease states that the owner sends, the reply to a report first. */
    readonly messages: readonly Extract<ModelMessage, { type: "toEntry"; }>[];
}

/** Applies an event to an owner with the production reducer, after a tick of the owner's timer. */
export function applyOwnerEvent(
    state: ModelState,
    owner: string,
    event: LedgerEvent,
    options: ModelOptions,
): OwnerResult {
    const ledger = state.owners[owner];
    if (!ledger) {
        return { state, messages: [] };
    }
    const policy: LedgerPolicy = {
        timings: options.timings,
        horizonSlack: 0,
        maxUnusedSlots: 0,
        pickNeediest: pickLowestService,
    };
    const refreshed = applyLedgerEvent(options.changeLedger(ledger), { type: "tick" }, 0, policy);
    const result = applyLedgerEvent(refreshed.state, event, 0, policy);
    const reporter = event.type === "demand" ? [`${event.instance}/${event.incarnation}`] : [];
    const pushed = [...refreshed.effects, ...result.effects].flatMap(effect =>
        effect.type === "push" ? [effect.entry] : []
    );
    return {
        state: { ...state, owners: { ...state.owners, [owner]: result.state } },
        messages: [...new Set([...reporter, ...pushed])].map(key =>
            makeMessage(result.state, owner, key, policy)
        ),
    };
}

function makeMessage(
    ledger: PoolLedger,
    owner: string,
    key: string,
    policy: LedgerPolicy,
): Extract<ModelMessage, { type: "toEntry"; }> {
    const { sequence, reportSequence, leases } = buildLeaseState(ledger, key, 0, policy);
    const [entry, incarnation] = key.split("/").map(Number);
    const lease = leases.find(({ target }) => target === targetName);
    return {
        type: "toEntry",
        entry: entry ?? 0,
        incarnation: incarnation ?? 0,
        owner,
        sequence,
        reportSequence,
        slots: lease?.slots ?? 0,
        deadline: lease?.deadline ?? 0,
    };
}
