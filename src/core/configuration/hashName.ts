import murmurhash from "murmurhash";

/**
 * Returns the 32-bit identifier under which the name of an object travels between daemons.
 * The configuration check refuses sets in which two names of one kind collide.
 *
 * @remarks MurmurHash3, x86 32-bit variant, over UTF-8 bytes.
 */
export function hashName(name: string): number {
    return murmurhash.v3(new TextEncoder().encode(name));
}
