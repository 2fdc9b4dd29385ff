const DEFAULT_PORTS: Readonly<Record<string, string>> = { "http:": "80", "https:": "443" };

/**
 * Returns the base URL at which a target is reached.
 *
 * @param addressMap Published host:port of a target to the host:port to connect to.
 */
export function mapTargetUrl(url: string, addressMap: Readonly<Record<string, string>>): URL {
    const mapped = new URL(url);
    const address = addressMap[`${mapped.hostname}:${mapped.port || DEFAULT_PORTS[mapped.protocol]}`];
    if (address !== undefined) {
        mapped.host = address;
    }
    return mapped;
}
