import { v7 as createUuid } from "uuid";
import { applyClaimVerdict } from "../../core/claim/applyClaimVerdict.js";
import type { ClaimAttempt } from "../../core/claim/claimAttempt.js";
import type { ClaimVerdict } from "../../core/claim/claimVerdict.js";
import { computeClaimQuorum } from "../../core/claim/computeClaimQuorum.js";
import { describeClaimRefusal } from "../../core/claim/describeClaimRefusal.js";
import { isClaimRetryable } from "../../core/claim/isClaimRetryable.js";
import { listClaimHolders } from "../../core/claim/listClaimHolders.js";
import { parseKeyTime } from "../../core/claim/parseKeyTime.js";
import { selectClaimGroup } from "../../core/claim/selectClaimGroup.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { ClaimHolder } from "../actors/claimHolder.js";
import type { DaemonContext } from "../daemonContext.js";
import type { ClaimTicket } from "./claimTicket.js";
import type { KeyClaimer } from "./keyClaimer.js";

interface ClaimCoordinatorOptions {
    readonly context: Pick<DaemonContext, "identity" | "peers" | "getView" | "getNow">;
    /** The claim holder in this process. */
    readonly localHolder: Pick<ClaimHolder, "handleClaim" | "handleSettle">;
    /** Waits between two rounds. */
    readonly wait: (ms: number) => Promise<void>;
}

/** Allows several round trips between the farthest regions. */
const CALL_TIMEOUT_MS = 1000;
/**
 * Time in milliseconds for which a claim is retried. It covers a change of the instance list and most pauses of a
 * holder.
 */
const MAX_RETRY_TIME_MS = 4000;
const RETRY_INTERVAL_MS = 250;
const MAX_ROUNDS = 8;

/** Claims each idempotency key at a quorum of its group of holders. */
export class ClaimCoordinator implements KeyClaimer {
    readonly #options: ClaimCoordinatorOptions;

    private constructor(options: ClaimCoordinatorOptions) {
        this.#options = options;
    }

    /** Creates the coordinator of an entry. */
    static create(options: ClaimCoordinatorOptions): ClaimCoordinator {
        return new ClaimCoordinator(options);
    }

    async claim(request: CallerRequest): Promise<ClaimTicket> {
        if (request.idempotencyKey !== undefined && parseKeyTime(request.idempotencyKey) === undefined) {
            // No instance runs a request with such a key, so the outcome `not-run` is certain.
            throw RequestError.create(
                "malformed-idempotency-key",
                "Idempotency-Key must be a UUID version 7.",
            );
        }
        const key = request.idempotencyKey ?? createUuid();
        const account = request.account.name;
        const { getNow } = this.#options.context;
        const firstAttempt = this.#createAttempt(key, request.idempotencyKey === undefined);
        const retryDeadline = Math.min(request.deadline, getNow() + MAX_RETRY_TIME_MS) - RETRY_INTERVAL_MS;
        const contactedHolders = new Set(firstAttempt.group);
        const transientHolders = new Set<string>();
        let attempt = await this.#collectVerdicts(
            key,
            account,
            firstAttempt,
            request.deadline,
            transientHolders,
        );
        for (
            let round = 1;
            round < MAX_ROUNDS && isClaimRetryable(attempt, transientHolders) && getNow() < retryDeadline;
            round += 1
        ) {
            await this.#options.wait(RETRY_INTERVAL_MS);
            // A holder grants the same attempt again, so the rounds need no release in between.
            const nextAttempt = {
                ...this.#createAttempt(key, firstAttempt.isFresh),
                attempt: firstAttempt.attempt,
            };
            nextAttempt.group.forEach(holder => contactedHolders.add(holder));
            transientHolders.clear();
            attempt = await this.#collectVerdicts(
                key,
                account,
                nextAttempt,
                request.deadline,
                transientHolders,
            );
        }
        const settle = (result: "run" | "released"): void =>
            this.#settle(
                key,
                account,
                { attempt: firstAttempt.attempt, group: [...contactedHolders] },
                result,
            );
        if (attempt.phase === "granted") {
            return { key, settle };
        }
        settle("released");
        const { code, outcome } = describeClaimRefusal(attempt);
        const verdicts = Object.values(attempt.verdicts).toSorted().join(", ");
        throw RequestError.create(code, `The key was not granted (${verdicts || "no holders"}).`, {
            outcome,
        });
    }

    #createAttempt(key: string, isFresh: boolean): ClaimAttempt {
        const group = selectClaimGroup(key, listClaimHolders(this.#options.context.getView()))
            .map(instance => instance.name);
        return {
            attempt: createUuid(),
            group,
            quorum: computeClaimQuorum(group.length),
            isFresh,
            verdicts: {},
            phase: group.length > 0 ? "claiming" : "refused",
        };
    }

    /** Resolves once a quorum has granted the key or all holders have replied or timed out. */
    #collectVerdicts(
        key: string,
        account: string,
        initial: ClaimAttempt,
        deadline: number,
        transientHolders: Set<string>,
    ): Promise<ClaimAttempt> {
        return new Promise(resolve => {
            let attempt = initial;
            const onVerdict = (holder: string, verdict: ClaimVerdict | "unreachable"): void => {
                if (verdict === "unreachable" || verdict === "not-holder") {
                    transientHolders.add(holder);
                }
                attempt = applyClaimVerdict(attempt, holder, verdict);
                if (attempt.phase !== "claiming") {
                    resolve(attempt);
                }
            };
            if (attempt.phase !== "claiming") {
                resolve(attempt);
            }
            for (const holder of attempt.group) {
                this.#requestClaim(holder, key, account, attempt.attempt, deadline).then(
                    verdict => onVerdict(holder, verdict),
                    () => onVerdict(holder, "unreachable"),
                );
            }
        });
    }

    async #requestClaim(
        holder: string,
        key: string,
        account: string,
        attempt: string,
        deadline: number,
    ): Promise<ClaimVerdict> {
        const { context } = this.#options;
        const message = {
            key,
            account,
            attempt,
            issuer: context.identity.instance,
            instanceListRevision: context.getView().instances.revision,
        };
        const timeoutMs = Math.max(1, Math.min(CALL_TIMEOUT_MS, deadline - context.getNow()));
        const reply = holder === context.identity.instance
            ? await this.#options.localHolder.handleClaim(message)
            : await context.peers.send(holder, "ClaimKey", message, timeoutMs);
        return reply.verdict as ClaimVerdict;
    }

    /** Notifies all holders, also those that granted after the quorum. A holder that misses the call keeps the claim. */
    #settle(
        key: string,
        account: string,
        attempt: Pick<ClaimAttempt, "attempt" | "group">,
        result: "run" | "released",
    ): void {
        const message = { key, account, attempt: attempt.attempt, result };
        for (const holder of attempt.group) {
            if (holder === this.#options.context.identity.instance) {
                void this.#options.localHolder.handleSettle(message);
                continue;
            }
            this.#options.context.peers.send(holder, "SettleClaim", message, CALL_TIMEOUT_MS)
                .catch(() => undefined);
        }
    }
}
