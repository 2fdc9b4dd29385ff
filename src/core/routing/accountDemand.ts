import { DecayingSum } from "./decayingSum.js";

/** Time over which the rates of an account are averaged: a few requests of a small account count as a low rate. */
const AVERAGE_MS = 2000;
/** Accounts that ask for less have left. */
const MIN_RATE = 0.1;
const EXPIRY_INTERVAL_MS = 100;

/** Other instances refuse so many requests of an account for each that they serve before fewer are relayed to them. */
const MAX_REFUSED_PER_SERVED = 2;
/** Requests a second that are relayed in any case, so that it is seen when others serve an account again. */
const FREE_RELAYS = 10;

interface AccountRates {
    readonly offered: DecayingSum;
    readonly admitted: DecayingSum;
    /** Requests that other instances have served and refused. */
    readonly servedByPeers: DecayingSum;
    readonly refusedByPeers: DecayingSum;
}

/** What client accounts ask of an instance, and get, in requests a second. */
export class AccountDemand {
    readonly #rates = new Map<string, AccountRates>();
    /** Monotonic time in milliseconds. */
    #expireAt = 0;

    /** Creates a record of no accounts. */
    static create(): AccountDemand {
        return new AccountDemand();
    }

    /** Counts a request that an account sends; `now` in monotonic milliseconds. */
    addOffered(account: string, now: number): void {
        this.#expire(now);
        this.#find(account).offered.add(1, now);
    }

    /** Counts a request of an account that is served; `now` in monotonic milliseconds. */
    addAdmitted(account: string, now: number): void {
        this.#find(account).admitted.add(1, now);
    }

    /** Returns the requests a second that an account sends, and that are served. */
    getRates(account: string, now: number): { readonly offered: number; readonly admitted: number; } {
        const rates = this.#find(account);
        return { offered: rates.offered.getPerSecond(now), admitted: rates.admitted.getPerSecond(now) };
    }

    /** Counts a request of an account that another instance has served or refused; `now` in monotonic milliseconds. */
    addRelayed(account: string, isRefused: boolean, now: number): void {
        const { servedByPeers, refusedByPeers } = this.#find(account);
        (isRefused ? refusedByPeers : servedByPeers).add(1, now);
    }

    /** Returns whether other instances serve enough of what an account sends; `now` in monotonic milliseconds. */
    isServedByPeers(account: string, now: number): boolean {
        const { servedByPeers, refusedByPeers } = this.#find(account);
        return refusedByPeers.getPerSecond(now)
            <= servedByPeers.getPerSecond(now) * MAX_REFUSED_PER_SERVED + FREE_RELAYS;
    }

    /** Returns the number of accounts that send requests. */
    get accounts(): number {
        return this.#rates.size;
    }

    #expire(now: number): void {
        if (now < this.#expireAt) {
            return;
        }
        this.#expireAt = now + EXPIRY_INTERVAL_MS;
        this.#rates.forEach(({ offered }, account) => {
            if (offered.getPerSecond(now) < MIN_RATE) {
                this.#rates.delete(account);
            }
        });
    }

    #find(account: string): AccountRates {
        let rates = this.#rates.get(account);
        if (!rates) {
            rates = {
                offered: DecayingSum.create(AVERAGE_MS),
                admitted: DecayingSum.create(AVERAGE_MS),
                servedByPeers: DecayingSum.create(AVERAGE_MS),
                refusedByPeers: DecayingSum.create(AVERAGE_MS),
            };
            this.#rates.set(account, rates);
        }
        return rates;
    }
}
