const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** Counts the bytes of a JSON document that begin a list, an object or a further entry; each value needs one of these. */
export function countJsonParts(document: Uint8Array): number {
    let count = 0;
    for (const byte of document) {
        if (byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE) {
            count += 1;
        }
    }
    return count;
}
