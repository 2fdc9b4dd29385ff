import { DecayingSum } from "./decayingSum.js";

/** Usage weighs in for about this time, the window over which client accounts are owed their share. */
const USAGE_WINDOW_MS = 4000;

interface PeerUsage {
    readonly tokens: ReadonlyMap<string, number>;
    readonly validUntil: number;
}

/** Tokens that each client account has used lately, over all instances that report. */
export class AccountUsage {
    readonly #own = new Map<string, DecayingSum>();
    readonly #peers = new Map<string, PeerUsage>();

    /** Creates a record without usage. */
    static create(): AccountUsage {
        return new AccountUsage();
    }

    /** Charges tokens to a client account. */
    charge(account: string, tokens: number, now: number): void {
        let sum = this.#own.get(account);
        if (!sum) {
            sum = DecayingSum.create(USAGE_WINDOW_MS);
            this.#own.set(account, sum);
        }
        sum.add(tokens, now);
    }

    /** Stores the usage that a peer reports. */
    setPeerUsage(instance: string, usage: PeerUsage): void {
        this.#peers.set(instance, usage);
    }

    /** Returns the recent tokens of a client account at all instances. */
    getTotal(account: string, now: number): number {
        let total = this.#own.get(account)?.get(now) ?? 0;
        for (const [instance, usage] of this.#peers) {
            if (usage.validUntil < now) {
                this.#peers.delete(instance);
                continue;
            }
            total += usage.tokens.get(account) ?? 0;
        }
        return total;
    }

    /** Lists the recent tokens of each client account at this instance. */
    listOwn(now: number): readonly (readonly [account: string, tokens: number])[] {
        return [...this.#own].map(([account, sum]) => [account, Math.round(sum.get(now))] as const)
            .filter(([, tokens]) => tokens > 0);
    }
}
