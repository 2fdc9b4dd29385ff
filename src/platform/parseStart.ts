/** Reads the start of a target's process from its report, in Unix milliseconds; `undefined` if it names none. */
export function parseStart(body: string): number | undefined {
    let fields: unknown;
    try {
        fields = JSON.parse(body);
    }
    catch {
        return undefined;
    }
    const { born } = (fields ?? {}) as { readonly born?: unknown; };
    return Number.isSafeInteger(born) && Number(born) > 0 ? Number(born) : undefined;
}
