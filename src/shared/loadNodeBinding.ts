/** Loads a part of Node.js that is not public; an empty one if this process may not, or there is none. */
export function loadNodeBinding<T>(name: string): Partial<T> {
    const { binding } = process as { readonly binding?: (name: string) => Partial<T>; };
    try {
        return binding?.call(process, name) ?? {};
    }
    catch {
        return {};
    }
}
