import { hashBytes } from "../../shared/hashBytes.js";
import type { StreamOrigin } from "./streamOrigin.js";

/** 36 bits; few versions are in use at a time, and each record carries the digest. */
const DIGEST_CHARACTERS = 6;

/** Returns a short digest of a service and a version. */
export function hashOrigin({ service, version }: StreamOrigin): string {
    return hashBytes(JSON.stringify([service, version]), undefined).slice(0, DIGEST_CHARACTERS);
}
