type ServicePath =
    | { readonly kind: "model"; }
    | { readonly kind: "plain"; readonly name: string; /** Path at the target. */ readonly rest: string; };

const CHAT_PATH = "/v1/chat/completions";
const PLAIN_PATH = /^\/services\/([^/?]+)([/?].*)?$/;

/** Parses the path of a caller's request; `undefined` if there is nothing at it. */
export function parseServicePath(url: string | undefined): ServicePath | undefined {
    if (url?.split("?", 1)[0] === CHAT_PATH) {
        return { kind: "model" };
    }
    const [, name, rest] = PLAIN_PATH.exec(url ?? "") ?? [];
    return name === undefined ? undefined : { kind: "plain", name, rest: rest ?? "/" };
}
