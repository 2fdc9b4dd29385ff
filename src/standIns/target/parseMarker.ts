/** Returns the value of a marker such as `[account=capel]` in a text; empty without one. */
export function parseMarker(text: string, name: "account" | "request"): string {
    return new RegExp(`\\[${name}=([^\\]]+)\\]`).exec(text)?.[1] ?? "";
}
