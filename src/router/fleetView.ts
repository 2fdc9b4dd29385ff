import type { AccountUsage } from "../core/routing/accountUsage.js";
import { computeColdShare } from "../core/routing/computeColdShare.js";
import { listCallerAddresses } from "../core/routing/listCallerAddresses.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import { Membership } from "../core/routing/membership.js";
import { pickReaders } from "../core/routing/pickReaders.js";
import type { Place } from "../core/routing/place.js";
import type { TargetEntry } from "../core/routing/targetEntry.js";
import type { LogSink } from "./logSink.js";
import { parsePeerReport } from "./parsePeerReport.js";
import { PeerExchange } from "./peerExchange.js";
import type { PeerReport } from "./peerReport.js";
import type { RouterSettings } from "./routerSettings.js";

interface FleetViewOptions {
    readonly settings: RouterSettings;
    readonly log: LogSink;
    readonly usage: AccountUsage;
    readonly getNow: () => number;
    readonly getState: () => MemberRecord["state"];
    readonly listLoads: () => PeerReport["loads"];
    readonly onLoads: (sender: string, loads: PeerReport["loads"], validUntil: number) => void;
}

/** Peers of the same data centre share their targets, so they hear of each other's load within this time. */
const REPORT_INTERVAL_MS = 150;
/** Peers of other data centres that get each report. */
const REMOTE_REPORTS = 4;
/** Other members that a report names, so that news spread without all instances talking to all. */
const RELAYED_MEMBERS = 6;
/** A report of load counts for four intervals, so that a lost datagram does not hide it. */
const LOAD_VALIDITY_MS = 600;
const USAGE_VALIDITY_MS = 3000;
/** Eight reports missed in a row. */
const NEAR_SILENCE_MS = 1200;
/** News of other data centres come through others and take several intervals longer. */
const REMOTE_SILENCE_MS = 3000;
/** Instances that are down count as users of cold targets for this long, because they may only be out of reach. */
const MEMORY_MS = 120_000;
/** A starting instance does not know yet among how many it has to divide the limit of a cold target. */
const LEARNING_MS = 2000;
const SEED_INTERVAL_MS = 1000;

/** Knows the other instances of the fleet and exchanges reports with them. */
export class FleetView {
    readonly #options: FleetViewOptions;
    readonly #membership = Membership.create({
        getSilenceMs: record =>
            record.dataCentre === this.#options.settings.place.dataCentre
                ? NEAR_SILENCE_MS
                : REMOTE_SILENCE_MS,
        memoryMs: MEMORY_MS,
    });
    readonly #incarnation = Date.now();
    readonly #startedAt: number;
    #exchange: PeerExchange | undefined;
    #sequence = 0;
    #nextSeedAt = 0;
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: FleetViewOptions) {
        this.#options = options;
        this.#startedAt = options.getNow();
    }

    /** Binds the socket and starts to send reports. */
    static async create(options: FleetViewOptions): Promise<FleetView> {
        const view = new FleetView(options);
        const { host, port } = options.settings.peers;
        view.#exchange = await PeerExchange.create({
            host,
            port,
            log: options.log,
            onMessage: message => view.#receive(message),
        });
        view.#timer = setInterval(() => view.#report(), REPORT_INTERVAL_MS);
        return view;
    }

    /** Number of live peers. */
    get peerCount(): number {
        return this.#listPeers().length;
    }

    /** Lists the addresses that a caller should use. */
    listCallerAddresses(caller: Place): readonly string[] {
        return listCallerAddresses([this.#describeSelf(), ...this.#listPeers()], caller);
    }

    /** Hosts of the instances that read the platform for this data centre; empty if this instance reads it itself. */
    listReaderHosts(): readonly string[] {
        const { place, instance } = this.#options.settings;
        const peers = this.#listPeers().filter(peer =>
            peer.dataCentre === place.dataCentre && peer.state !== "closed"
        );
        const readers = pickReaders([instance, ...peers.map(peer => peer.name)]);
        return readers.includes(instance)
            ? []
            : peers.filter(peer => readers.includes(peer.name)).map(peer => peer.ip);
    }

    /** Rate and burst at which this instance may use a cold target; `undefined` if it must not. */
    getColdShare(
        entry: TargetEntry,
        limitPerSecond: number,
    ): { readonly perSecond: number; readonly burst: number; } | undefined {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now - this.#startedAt < LEARNING_MS) {
            return undefined;
        }
        const members = [this.#describeSelf(), ...this.#membership.listKnown(now)];
        const region = settings.regions.get(entry.dataCentre);
        const users = [
            members.filter(member => member.dataCentre === entry.dataCentre),
            members.filter(member => member.region === region),
            members,
        ].find(list => list.length > 0) ?? members;
        return computeColdShare(
            entry.id,
            limitPerSecond,
            settings.instance,
            users.map(member => member.name),
        );
    }

    /** Tells all peers of a change of state at once. */
    notifyPeers(): void {
        this.#send(this.#listPeers());
    }

    /** Stops the reports. */
    close(): void {
        clearInterval(this.#timer);
        this.#exchange?.close();
    }

    #listPeers(): readonly MemberRecord[] {
        return this.#membership.listLive(this.#options.getNow());
    }

    #describeSelf(): MemberRecord {
        const { settings, getState } = this.#options;
        return {
            name: settings.instance,
            dataCentre: settings.place.dataCentre,
            region: settings.place.region,
            ip: settings.peers.host,
            callerAddress: `${settings.callers.host}:${settings.callers.port}`,
            incarnation: this.#incarnation,
            sequence: this.#sequence,
            state: getState(),
            weight: settings.weight,
        };
    }

    #report(): void {
        const peers = this.#listPeers();
        const { dataCentre } = this.#options.settings.place;
        const near = peers.filter(peer => peer.dataCentre === dataCentre);
        const remote = pickSome(peers.filter(peer => peer.dataCentre !== dataCentre), REMOTE_REPORTS);
        this.#send([...near, ...remote]);
        this.#notifySeeds(peers);
    }

    /** Seeds that are not known as live get a report from time to time, in case they have come back. */
    #notifySeeds(peers: readonly MemberRecord[]): void {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now < this.#nextSeedAt) {
            return;
        }
        this.#nextSeedAt = now + SEED_INTERVAL_MS;
        const known = new Set([settings.peers.host, ...peers.map(peer => peer.ip)]);
        const unknown = settings.seedHosts.filter(host => !known.has(host));
        this.#exchange?.send(this.#buildReport(), unknown);
    }

    #send(peers: readonly MemberRecord[]): void {
        if (peers.length > 0) {
            this.#exchange?.send(this.#buildReport(), peers.map(peer => peer.ip));
        }
    }

    #buildReport(): PeerReport {
        const { usage, listLoads, getNow } = this.#options;
        this.#sequence += 1;
        return {
            sender: this.#describeSelf(),
            loads: listLoads(),
            usage: usage.listOwn(getNow()),
            others: pickSome(this.#listPeers(), RELAYED_MEMBERS),
        };
    }

    #receive(message: unknown): void {
        const report = parsePeerReport(message);
        const { log, settings, usage, onLoads, getNow } = this.#options;
        if (!report) {
            log.write("peer-report-invalid", {});
            return;
        }
        const now = getNow();
        const isNews = this.#adopt(report.sender, now);
        report.others.forEach(record => this.#adopt(record, now));
        if (isNews && report.sender.name !== settings.instance) {
            usage.setPeerUsage(report.sender.name, {
                tokens: new Map(
                    report.usage.map(([account, asked, granted]) => [account, { asked, granted }]),
                ),
                validUntil: now + USAGE_VALIDITY_MS,
            });
            onLoads(report.sender.name, report.loads, now + LOAD_VALIDITY_MS);
        }
    }

    #adopt(record: MemberRecord, now: number): boolean {
        if (record.name === this.#options.settings.instance) {
            return false;
        }
        const result = this.#membership.adopt(record, now);
        if (result === "new" || result === "changed") {
            this.#options.log.write("peer-changed", { peer: record.name, state: record.state, result });
        }
        if (result === "new") {
            // The new member learns of this one, and the others that it knows, without waiting for its turn.
            this.#send([record]);
        }
        return result !== "stale";
    }
}

function pickSome<T>(items: readonly T[], count: number): readonly T[] {
    const rest = [...items];
    const picked: T[] = [];
    while (picked.length < count && rest.length > 0) {
        picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1));
    }
    return picked;
}
