import { dispatch, type Ref, spawn } from "nact";
import { applyClaimEvent } from "../../core/claim/applyClaimEvent.js";
import type { Claim } from "../../core/claim/claim.js";
import type { ClaimEvent } from "../../core/claim/claimEvent.js";
import type { ClaimVerdict } from "../../core/claim/claimVerdict.js";
import { HolderHistory } from "../../core/claim/holderHistory.js";
import { isVouchable } from "../../core/claim/isVouchable.js";
import { listClaimHolders } from "../../core/claim/listClaimHolders.js";
import { maxClockSkewMs } from "../../core/claim/maxClockSkewMs.js";
import { parseKeyTime } from "../../core/claim/parseKeyTime.js";
import { selectClaimGroup } from "../../core/claim/selectClaimGroup.js";
import type { Acknowledgement } from "../../transport/generated/baobabspread/peer/Acknowledgement.js";
import type { ClaimHandover__Output } from "../../transport/generated/baobabspread/peer/ClaimHandover.js";
import type { ClaimReply } from "../../transport/generated/baobabspread/peer/ClaimReply.js";
import type { ClaimRequest__Output } from "../../transport/generated/baobabspread/peer/ClaimRequest.js";
import type { HeldClaim } from "../../transport/generated/baobabspread/peer/HeldClaim.js";
import type { SettleRequest__Output } from "../../transport/generated/baobabspread/peer/SettleRequest.js";
import type { DaemonContext } from "../daemonContext.js";
import type { ClaimMessage } from "./claimMessage.js";

type HolderContext = Pick<
    DaemonContext,
    "identity" | "system" | "metrics" | "peers" | "getView" | "subscribeView"
>;

type KeyMessage = Exclude<ClaimMessage, { readonly kind: "flush"; }>;

interface HeldEntry {
    readonly account: string;
    readonly key: string;
    readonly claim: Claim;
    /** Wall-clock time in milliseconds from which no holder grants the key any more. */
    readonly evictAtMs: number;
}

/** 24 h, the longest that a holder vouches for a key, and a minute more. */
const CLAIM_KEEP_MS = 86_400_000 + 60_000;
/** Bounds the memory. A full holder grants no new keys: a key whose claim were evicted early could run twice. */
const MAX_CLAIMS = 300_000;
const HANDOVER_BATCH_SIZE = 1000;
const HANDOVER_TIMEOUT_MS = 2000;

/** Remembers which attempt claimed each idempotency key. */
export class ClaimHolder {
    readonly #context: HolderContext;
    readonly #getWallTime: () => number;
    readonly #actor: Ref<ClaimMessage>;
    readonly #entries = new Map<string, HeldEntry>();
    #history = HolderHistory.create();

    private constructor(context: HolderContext, getWallTime: () => number) {
        this.#context = context;
        this.#getWallTime = getWallTime;
        this.#actor = spawn(context.system, (_state: undefined, message: ClaimMessage) => {
            if (message.kind === "flush") {
                message.reply();
                return undefined;
            }
            this.#apply(message);
            return undefined;
        }, "claimHolder");
        const onView = (): void => {
            this.#history = this.#history.addView(listClaimHolders(context.getView()), getWallTime());
        };
        onView();
        context.subscribeView(onView);
    }

    /**
     * Creates a holder without claims.
     *
     * @param getWallTime Wall-clock time in milliseconds, compared with the creation times in keys.
     */
    static create(context: HolderContext, getWallTime: () => number = Date.now): ClaimHolder {
        return new ClaimHolder(context, getWallTime);
    }

    /** Grants a key to one attempt, or replies with the reason for the refusal. */
    async handleClaim(
        request: Pick<ClaimRequest__Output, "account" | "key" | "attempt">,
    ): Promise<ClaimReply> {
        const { account, key, attempt } = request;
        const verdict = await new Promise<ClaimVerdict>(reply => {
            dispatch(this.#actor, { kind: "claim", account, key, attempt, reply });
        });
        return { verdict };
    }

    /** Records how a claimed attempt ended. */
    handleSettle(request: SettleRequest__Output): Promise<Acknowledgement> {
        const { account, attempt, key } = request;
        const result = request.result === "run" ? "run" : "released";
        dispatch(this.#actor, {
            kind: "change",
            account,
            key,
            event: { kind: "settle", attempt, result },
        });
        return Promise.resolve({ accepted: true });
    }

    /** Adopts the claims that a leaving holder transfers. */
    handleHandover(handover: ClaimHandover__Output): Promise<Acknowledgement> {
        for (const { account, key, attempt, state } of handover.claims) {
            const claim: Claim = { attempt, state: state === "run" ? "run" : "claimed" };
            dispatch(this.#actor, { kind: "change", account, key, event: { kind: "adopt", claim } });
        }
        return Promise.resolve({ accepted: true });
    }

    /** Transfers all claims to the holders of their keys without this instance; failed calls are ignored. */
    async sendHandover(): Promise<void> {
        await new Promise<void>(reply => {
            dispatch(this.#actor, { kind: "flush", reply });
        });
        const localInstance = this.#context.identity.instance;
        const otherHolders = listClaimHolders(this.#context.getView()).filter(instance =>
            instance.name !== localInstance
        );
        const batches = new Map<string, HeldClaim[]>();
        for (const { account, key, claim } of this.#entries.values()) {
            for (const successor of selectClaimGroup(key, otherHolders)) {
                const batch = batches.get(successor.name) ?? [];
                batch.push({ account, key, ...claim });
                batches.set(successor.name, batch);
            }
        }
        await Promise.all([...batches].map(([successor, claims]) => this.#sendBatches(successor, claims)));
    }

    async #sendBatches(successor: string, claims: readonly HeldClaim[]): Promise<void> {
        const { identity, peers } = this.#context;
        for (let start = 0; start < claims.length; start += HANDOVER_BATCH_SIZE) {
            const message = {
                instance: identity.instance,
                claims: claims.slice(start, start + HANDOVER_BATCH_SIZE) as ClaimHandover__Output["claims"],
            };
            await peers.send(successor, "HandOverClaims", message, HANDOVER_TIMEOUT_MS).catch(() =>
                undefined
            );
        }
    }

    #apply(message: KeyMessage): void {
        this.#evictExpired();
        const id = `${message.account}|${message.key}`;
        const held = this.#entries.get(id)?.claim;
        const event = message.kind === "claim" ? this.#checkClaim(message) : message.event;
        const { claim, verdict } = applyClaimEvent(held, event);
        this.#storeClaim(id, message, claim);
        if (message.kind === "claim" && verdict !== undefined) {
            this.#context.metrics.count("claims_total", { verdict });
            message.reply(verdict);
        }
    }

    #checkClaim(message: Extract<ClaimMessage, { readonly kind: "claim"; }>): ClaimEvent {
        const { identity } = this.#context;
        const keyTimeMs = parseKeyTime(message.key);
        // A view adopted less than the clock margin before the key does not prove membership when the key was created.
        const untilMs = (keyTimeMs ?? 0) - maxClockSkewMs;
        const memberSinceMs = this.#history.findMemberSince(message.key, identity.instance, untilMs);
        return {
            kind: "claim",
            attempt: message.attempt,
            isHolder: memberSinceMs !== undefined,
            isVouchable: this.#entries.size < MAX_CLAIMS && isVouchable({
                keyTimeMs,
                startedAtMs: identity.startedAtMs,
                memberSinceMs: memberSinceMs ?? Number.POSITIVE_INFINITY,
                nowMs: this.#getWallTime(),
            }),
        };
    }

    #storeClaim(id: string, message: KeyMessage, claim: Claim | undefined): void {
        if (!claim) {
            this.#entries.delete(id);
            return;
        }
        const { account, key } = message;
        const evictAtMs = (parseKeyTime(key) ?? this.#getWallTime()) + CLAIM_KEEP_MS;
        this.#entries.set(id, { account, key, claim, evictAtMs });
    }

    /** The map keeps insertion order, so the scan starts at the oldest claim and stops at the first one to keep. */
    #evictExpired(): void {
        const now = this.#getWallTime();
        for (const [id, entry] of this.#entries) {
            if (entry.evictAtMs > now) {
                return;
            }
            this.#entries.delete(id);
        }
    }
}
