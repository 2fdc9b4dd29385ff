import { listSharedParts } from "./listSharedParts.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Lists what may have made a target crash that was serving a request: its shared prompt parts and the whole request. */
export function listCrashKeys(
    { prompt, fingerprint }: Pick<RoutedRequest, "prompt" | "fingerprint">,
): readonly string[] {
    return fingerprint ? [...listSharedParts(prompt), fingerprint.key] : listSharedParts(prompt);
}
