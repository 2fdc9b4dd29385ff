import murmurhash from "murmurhash";

/**
 * Returns the 32-bit identifier that stands for the name of an object in messages between daemons.
 * `validateConfiguration` rejects a configuration in which two names of one kind collide.
 *
 * @remarks MurmurHash3, x86 32-bit variant, over UTF-8 bytes.
 */
export function hashName(name: string): number {
    return murmurhash.v3(new TextEncoder().encode(name));
}
