import { RequestFingerprint } from "./requestFingerprint.js";

/** Scopes of crash keys that stand for whole requests, so that a request of another scope need not be hashed. */
export class ScopeCounter {
    readonly #counts = new Map<string, number>();

    /** Creates a counter without keys. */
    static create(): ScopeCounter {
        return new ScopeCounter();
    }

    /** Returns whether a key with the scope is known. */
    has(scope: string): boolean {
        return this.#counts.has(scope);
    }

    /** Adds a key; prompt parts have no scope. */
    add(key: string): void {
        this.#update(key, 1);
    }

    /** Removes a key that was added. */
    remove(key: string): void {
        this.#update(key, -1);
    }

    #update(key: string, change: number): void {
        if (!RequestFingerprint.isRequestKey(key)) {
            return;
        }
        const scope = RequestFingerprint.getScope(key);
        const count = (this.#counts.get(scope) ?? 0) + change;
        if (count > 0) {
            this.#counts.set(scope, count);
        }
        else {
            this.#counts.delete(scope);
        }
    }
}
