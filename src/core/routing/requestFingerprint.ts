import murmurhash from "murmurhash";
import type { PromptPart } from "./promptPart.js";

interface FingerprintOptions {
    readonly method: string;
    /** Host without port, in lower case. */
    readonly host: string;
    /** Path with its query, as the caller wrote it. */
    readonly path: string;
    readonly account: string;
    readonly prompt: readonly PromptPart[];
    readonly body: Uint8Array | undefined;
    /** Returns a collision-resistant digest of the bytes of all arguments, free of colons. */
    readonly hashBytes: (text: string, body: Uint8Array | undefined) => string;
}

/** No prompt part begins with it, because parts are separated by colons and commas. */
const KEY_PREFIX = "request:";
const SEPARATOR = "\n";
/** Bodies up to this size take less time to hash than a request takes to forward. */
const MAX_SHORT_BODY_BYTES = 16_384;
const HEXADECIMAL = 16;

/**
 * Identifies a request that comes again with the same path, client account and content. Its identifier, deadline, resume
 * position and the spelling of its key differ each time and are left out. Computed when first needed.
 */
export class RequestFingerprint {
    readonly #options: FingerprintOptions;
    #text: string | undefined;
    #scope: string | undefined;
    #key: string | undefined;

    private constructor(options: FingerprintOptions) {
        this.#options = options;
    }

    /** Creates the fingerprint of a request whose body has been read. */
    static create(options: FingerprintOptions): RequestFingerprint {
        return new RequestFingerprint(options);
    }

    /** Returns whether a crash key stands for a whole request. */
    static isRequestKey(key: string): boolean {
        return key.startsWith(KEY_PREFIX);
    }

    /** Returns the scope of a key that stands for a whole request. */
    static getScope(key: string): string {
        return key.slice(KEY_PREFIX.length, key.lastIndexOf(":"));
    }

    /** Short hash of everything but the content of the body; requests with different scopes are different. */
    get scope(): string {
        this.#scope ??= murmurhash.v3(this.#getText()).toString(HEXADECIMAL);
        return this.#scope;
    }

    /** Crash key of the whole request; computing it hashes the body. */
    get key(): string {
        const { body, hashBytes } = this.#options;
        this.#key ??= `${KEY_PREFIX}${this.scope}:${hashBytes(this.#getText(), body)}`;
        return this.#key;
    }

    /** True if the body is so short that its hash costs little compared with forwarding the request. */
    get isShort(): boolean {
        return (this.#options.body?.length ?? 0) <= MAX_SHORT_BODY_BYTES;
    }

    #getText(): string {
        const { method, host, path, account, prompt, body } = this.#options;
        this.#text ??= [method, host, path, account, body?.length ?? 0, ...prompt.map(({ id }) => id)]
            .join(SEPARATOR);
        return this.#text;
    }
}
