import type { LinkFault } from "../standIns/faultProxy/linkFault.js";
import { ChildProcess } from "./childProcess.js";
import { sendControl } from "./sendControl.js";

interface LinkDescription {
    readonly address: string;
    readonly forwardBytes: number;
    readonly backwardBytes: number;
}

interface FleetLinksOptions {
    readonly daemons: readonly string[];
    /** Addresses of the targets, host:port, by name. */
    readonly targets: Readonly<Record<string, string>>;
    readonly platform: string;
    /** One-way delay in milliseconds between two names, unless a fault states another. */
    readonly getDelayMs: (from: string, to: string) => number;
}

const PLATFORM = "platform";

/**
 * Links of the fault proxy. The link `A>B` carries the connections from A to B. The link `*>B` has the
 * address that is published for B; each daemon maps that address to the one of its own link.
 */
export class FleetLinks {
    readonly #proxy: ChildProcess;
    readonly #options: FleetLinksOptions;
    readonly #addresses: Readonly<Record<string, string>>;
    readonly #faults = new Map<string, LinkFault>();

    private constructor(
        proxy: ChildProcess,
        options: FleetLinksOptions,
        addresses: Readonly<Record<string, string>>,
    ) {
        this.#proxy = proxy;
        this.#options = options;
        this.#addresses = addresses;
    }

    /** Starts the proxy process with every link. */
    static async create(options: FleetLinksOptions): Promise<FleetLinks> {
        const proxy = await ChildProcess.create(
            new URL("../standIns/faultProxy/main.js", import.meta.url),
            [],
        );
        const ends = { ...options.targets, [PLATFORM]: options.platform };
        const targets: Record<string, string> = {};
        for (const from of ["*", ...options.daemons]) {
            for (const [to, address] of Object.entries(ends)) {
                targets[`${from}>${to}`] = address;
            }
            for (const to of options.daemons.filter(name => name !== from)) {
                targets[`${from}>${to}`] = "";
            }
        }
        const links = await sendControl<Record<string, LinkDescription>>(
            proxy.address,
            "POST",
            "links",
            { targets },
        );
        const addresses = Object.fromEntries(
            Object.entries(links).map(([name, link]) => [name, link.address]),
        );
        const created = new FleetLinks(proxy, options, addresses);
        await created.#applyFaults(Object.keys(links).filter(name => !name.startsWith("*")), {});
        return created;
    }

    /** Address that is published for a daemon or a target. */
    getPublishedAddress(name: string): string {
        return this.#addresses[`*>${name}`] ?? "";
    }

    /** Address at which a daemon reaches the platform. */
    getPlatformAddress(daemon: string): string {
        return this.#addresses[`${daemon}>${PLATFORM}`] ?? "";
    }

    /** Addresses that a daemon has to use instead of the published ones. */
    buildAddressMap(daemon: string): Readonly<Record<string, string>> {
        const names = [...this.#options.daemons, ...Object.keys(this.#options.targets)];
        return Object.fromEntries(
            names.filter(name => name !== daemon).map(name => [
                this.getPublishedAddress(name),
                this.#addresses[`${daemon}>${name}`] ?? "",
            ]),
        );
    }

    /** Redirects every link to a daemon to its current peer address. */
    async setPeerAddress(daemon: string, address: string): Promise<void> {
        const names = Object.keys(this.#addresses).filter(name => name.endsWith(`>${daemon}`));
        await sendControl(this.#proxy.address, "POST", "links", {
            targets: Object.fromEntries(names.map(name => [name, address])),
        });
    }

    /** Sets a fault on links by name; the normal delay stays unless the fault states one. */
    async setFault(names: readonly string[], fault: LinkFault): Promise<void> {
        for (const name of names) {
            this.#faults.set(name, fault);
        }
        await this.#applyFaults(names, fault);
    }

    /** Ends the faults of the named links, or of all. */
    async clearFaults(names: readonly string[] = [...this.#faults.keys()]): Promise<void> {
        for (const name of names) {
            this.#faults.delete(name);
        }
        await this.#applyFaults(names, {});
    }

    /** Resets the open connections of links, also in the middle of a response. */
    async reset(names: readonly string[]): Promise<void> {
        await sendControl(this.#proxy.address, "POST", "resets", { links: names });
    }

    /** Names of the links from one group of names to another, in both directions. */
    listBetween(a: readonly string[], b: readonly string[]): readonly string[] {
        return [...a.flatMap(x => b.map(y => `${x}>${y}`)), ...b.flatMap(x => a.map(y => `${x}>${y}`))]
            .filter(name => this.#addresses[name] !== undefined);
    }

    /** Bytes carried by each link, both directions together. */
    async readBytes(): Promise<Readonly<Record<string, number>>> {
        const links = await sendControl<Record<string, LinkDescription>>(this.#proxy.address, "GET", "links");
        return Object.fromEntries(
            Object.entries(links).map(([name, link]) => [name, link.forwardBytes + link.backwardBytes]),
        );
    }

    /** Ends the proxy process. */
    async close(): Promise<void> {
        await this.#proxy.stop("SIGKILL");
    }

    async #applyFaults(names: readonly string[], fault: LinkFault): Promise<void> {
        const byDelay = new Map<number, string[]>();
        for (const name of names) {
            const [from, to] = name.split(">");
            const delayMs = this.#options.getDelayMs(from ?? "", to ?? "");
            byDelay.set(delayMs, [...byDelay.get(delayMs) ?? [], name]);
        }
        for (const [delayMs, links] of byDelay) {
            await sendControl(this.#proxy.address, "POST", "faults", { links, fault: { delayMs, ...fault } });
        }
    }
}
