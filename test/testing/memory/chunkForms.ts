import type { ChunkForm } from "./chunkForm.js";

const LINE = "\r\n";
const LAST_CHUNK = `0${LINE}`;
/** Below the limit of a trailer section, so that the rest is still waited for. */
const TRAILER_LINES = 250;

function formatChunks(bodyBytes: number, chunkBytes: number, extension = "", trailer = ""): Buffer {
    const chunk = `${chunkBytes.toString(16)}${extension}${LINE}${"x".repeat(chunkBytes)}${LINE}`;
    const chunks = chunk.repeat(Math.floor(bodyBytes / chunkBytes));
    return Buffer.from(`${chunks}${LAST_CHUNK}${trailer}${LINE}`);
}

/** Forms of bodies that hold more memory than bytes, or that need not end. */
export const chunkForms: readonly ChunkForm[] = [
    { name: "chunks of 16 KiB", whole: formatChunks(1_048_576, 16_384) },
    { name: "chunks of one byte", whole: formatChunks(49_152, 1) },
    { name: "chunks of three bytes", whole: formatChunks(49_152, 3) },
    { name: "chunks with extensions", whole: formatChunks(16_384, 1, `;${"e".repeat(60)}`) },
    {
        name: "a long trailer",
        whole: formatChunks(16_384, 1024, "", `Field: ${"v".repeat(40)}${LINE}`.repeat(TRAILER_LINES)),
    },
];
