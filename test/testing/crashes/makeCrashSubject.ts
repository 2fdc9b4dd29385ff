import { RequestFingerprint } from "../../../src/core/routing/requestFingerprint.js";
import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import { hashBytes } from "../../../src/shared/hashBytes.js";

interface CrashSubjectOptions {
    readonly path: string;
    readonly account: string;
    readonly prompt: RoutedRequest["prompt"];
    readonly onHash: () => void;
}

/** Makes a plain request with a body, as the crash record sees it. */
export function makeCrashSubject(
    body: string,
    { path = "/safe/x", account = "", prompt = [], onHash = () => undefined }: Partial<CrashSubjectOptions> =
        {},
): { readonly prompt: RoutedRequest["prompt"]; readonly fingerprint: RequestFingerprint; } {
    const fingerprint = RequestFingerprint.create({
        method: "POST",
        host: "h",
        path,
        account,
        prompt,
        body: Buffer.from(body),
        hashBytes: (text, bytes) => {
            onHash();
            return hashBytes(text, bytes);
        },
    });
    return { prompt, fingerprint };
}
