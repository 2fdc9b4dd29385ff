import type { PermitGrant } from "../core/limits/permitGrant.js";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Membership } from "../core/routing/membership.js";
import type { PermitMessage } from "./permitMessage.js";
import type { RouterSettings } from "./routerSettings.js";

interface PermitExchangeOptions {
    readonly settings: RouterSettings;
    readonly limits: RequestLimiter;
    readonly membership: Membership;
    /** Builds the next record of this instance; each message needs a new one. */
    readonly buildRecord: () => MemberRecord;
    readonly send: (message: PermitMessage, host: string) => void;
    /** Called when this instance may have got permits. */
    readonly onPermits: () => void;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
}

/** An instance that has heard of no peer for this long after its start takes itself for the only one. */
const ISOLATION_MS = 120_000;

/** Hands permits for targets with a request limit to other instances. Times are monotonic milliseconds. */
export class PermitExchange {
    readonly #options: PermitExchangeOptions;

    private constructor(options: PermitExchangeOptions) {
        this.#options = options;
    }

    /** Creates an exchange that has sent nothing. */
    static create(options: PermitExchangeOptions): PermitExchange {
        return new PermitExchange(options);
    }

    /** Sends the permits that this instance has to hand out as a coordinator. */
    advance(isClosed: boolean, now: number): void {
        const { settings, limits, membership, startedAt, onPermits } = this.#options;
        const known = membership.listKnown(now);
        const expectsPeers = settings.seedHosts.some(host => host !== settings.peerAddress.host);
        const isIsolated = known.length === 0 && expectsPeers && now - startedAt < ISOLATION_MS;
        this.#send(limits.advance({ live: membership.listLive(now), known, isClosed, isIsolated }, now), now);
        if (limits.limitedCount > 0) {
            onPermits();
        }
    }

    /**
     * Applies permits from a coordinator.
     *
     * @param adopt Adopts the sender's record and returns false if it is not new: the datagram has arrived before.
     */
    receive(
        { sender, permits }: PermitMessage,
        adopt: (record: MemberRecord) => boolean,
        now: number,
    ): void {
        const { limits, onPermits } = this.#options;
        if (adopt(sender)) {
            this.#send(limits.applyPermits(permits, sender, now), now);
            onPermits();
        }
    }

    #send(grants: readonly PermitGrant[], now: number): void {
        if (grants.length === 0) {
            return;
        }
        const { membership, buildRecord, send } = this.#options;
        const hosts = new Map(membership.listLive(now).map(({ name, ip }) => [name, ip]));
        for (const { recipient, permits } of grants) {
            const host = hosts.get(recipient);
            if (host !== undefined) {
                send({ scope: "permits", sender: buildRecord(), permits }, host);
            }
        }
    }
}
