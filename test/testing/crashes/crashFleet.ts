import { CrashDetector } from "../../../src/core/routing/crashDetector.js";
import type { CrashOutcome } from "../../../src/core/routing/crashOutcome.js";
import type { CrashRecord } from "../../../src/core/routing/crashRecord.js";
import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import { pickReportRole } from "../../../src/core/routing/pickReportRole.js";
import type { ReportRole } from "../../../src/core/routing/reportRole.js";
import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import { createCrashRecord } from "../createCrashRecord.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";

interface CrashFleetOptions {
    readonly instances: number;
    readonly dataCentres: number;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    /** Whether instances of two data centres reach each other. */
    readonly isConnected: (from: string, to: string, now: number) => boolean;
}

interface SimulatedInstance {
    readonly member: MemberRecord;
    record: CrashRecord;
    detector: CrashDetector;
}

interface SimulatedPeers {
    readonly local: readonly SimulatedInstance[];
    readonly remote: readonly SimulatedInstance[];
    readonly role: ReportRole;
    readonly delegates: readonly SimulatedInstance[];
}

type Subject = Pick<RoutedRequest, "prompt" | "fingerprint">;

const STEP_MS = 25;
const REPORT_MS = 150;
/** Interval of the summaries that go to all regions. */
const REMOTE_SUMMARY_MS = 600;
const LOSS_SHARE = 0.02;
/** Time from the break of a connection to a refused new one. */
const CONFIRMATION_MS = 50;

/** Crash records of a fleet in simulated time, which report to each other as instances do; datagrams are lost at random. */
export class CrashFleet {
    readonly #options: CrashFleetOptions;
    readonly #instances: readonly SimulatedInstance[];
    /** Peers and role of each instance; no instance leaves, so that they stay the same. */
    readonly #peers = new Map<SimulatedInstance, SimulatedPeers>();
    readonly #queue: { readonly at: number; readonly run: () => void; }[] = [];
    now = 0;

    private constructor(options: CrashFleetOptions) {
        this.#options = options;
        this.#instances = Array.from({ length: options.instances }, (_, i) => ({
            member: makeMember(`i${i}`, `dc${i % options.dataCentres}`),
            ...createRecords(),
        }));
    }

    /** Creates a fleet that has seen no crash. */
    static create(options: CrashFleetOptions): CrashFleet {
        return new CrashFleet(options);
    }

    /** Lists how many instances refuse a request. */
    countRefusing(subject: Subject): number {
        return this.#instances.filter(({ record }) => record.findRefusal(subject, this.now)).length;
    }

    /** Makes an instance see a complete response. */
    finish(instance: number, subject: Subject): void {
        const { record, detector } = this.#get(instance);
        detector.recordComplete(record.listProvenKeys(subject), this.now - 10, this.now);
    }

    /** Makes a target crash that serves requests of some instances. */
    kill(
        targetId: string,
        requests: readonly { readonly instance: number; readonly keys: readonly string[]; }[],
    ): void {
        const target = makeTargetDescriptor(targetId);
        for (const { instance, keys } of requests) {
            this.#get(instance).detector.recordEnd(
                target,
                { keys, sentAt: this.now - 30, mayBeComplete: false },
                this.now,
            );
        }
        this.#queue.push({
            at: this.now + CONFIRMATION_MS,
            run: () =>
                requests.forEach(({ instance }) =>
                    this.#get(instance).detector.recordGone(targetId, this.now)
                ),
        });
    }

    /** Makes an instance start again, which remembers nothing. */
    start(instance: number): void {
        Object.assign(this.#get(instance), createRecords());
    }

    /** Runs until a time in milliseconds. */
    run(until: number): void {
        for (; this.now < until; this.now += STEP_MS) {
            const due = this.#queue.filter(({ at }) => at <= this.now);
            this.#queue.splice(0, this.#queue.length, ...this.#queue.filter(({ at }) => at > this.now));
            due.forEach(({ run }) => run());
            this.#instances.forEach((instance, i) => {
                if ((this.now + i * STEP_MS) % REPORT_MS === 0) {
                    this.#report(instance);
                }
            });
        }
    }

    #report(instance: SimulatedInstance): void {
        const { member, record } = instance;
        const { local, remote, role, delegates } = this.#getPeers(instance);
        const random = local.filter((_, i) => i === Math.floor(this.#options.getRandom() * local.length));
        this.#send(
            member,
            role.kind === "mesh" ? local : [...new Set([...delegates, ...random])],
            record.takeReport("peers", this.now),
        );
        if (role.kind === "delegate" && role.rank === 0) {
            this.#send(member, local, record.takeReport("data-centre", this.now));
        }
        const isSender = role.kind === "mesh"
            ? local.every(peer => peer.member.name > member.name)
            : role.kind === "delegate" && role.rank === 0;
        if (isSender && this.now % REMOTE_SUMMARY_MS < REPORT_MS) {
            this.#send(member, remote, record.takeReport("remote", this.now));
        }
    }

    #getPeers(instance: SimulatedInstance): SimulatedPeers {
        const known = this.#peers.get(instance);
        if (known) {
            return known;
        }
        const { member } = instance;
        const others = this.#instances.filter(other => other !== instance);
        const isLocal = (peer: SimulatedInstance): boolean => peer.member.dataCentre === member.dataCentre;
        const local = others.filter(isLocal);
        const role = pickReportRole(member, local.map(peer => peer.member));
        const peers = {
            local,
            remote: others.filter(peer => !isLocal(peer)),
            role,
            delegates: local.filter(peer => role.delegates.includes(peer.member)),
        };
        this.#peers.set(instance, peers);
        return peers;
    }

    #send(
        sender: MemberRecord,
        receivers: readonly SimulatedInstance[],
        outcomes: readonly CrashOutcome[] | undefined,
    ): void {
        for (const { member, record } of outcomes ? receivers : []) {
            const isLost = this.#options.getRandom() < LOSS_SHARE
                || !this.#options.isConnected(sender.dataCentre, member.dataCentre, this.now);
            if (!isLost) {
                const isLocal = sender.dataCentre === member.dataCentre;
                this.#queue.push({
                    at: this.now + STEP_MS,
                    run: () => record.adopt(outcomes ?? [], isLocal, this.now),
                });
            }
        }
    }

    #get(instance: number): SimulatedInstance {
        const found = this.#instances[instance];
        if (!found) {
            throw new Error(`There is no instance ${instance}.`);
        }
        return found;
    }
}

function createRecords(): Pick<SimulatedInstance, "record" | "detector"> {
    const record = createCrashRecord();
    const detector = CrashDetector.create({
        crashRecord: record,
        onCrash: () => undefined,
        onBroken: () => undefined,
    });
    return { record, detector };
}

function makeMember(name: string, dataCentre: string): MemberRecord {
    return {
        name,
        dataCentre,
        region: dataCentre,
        ip: "127.0.0.1",
        callerAddress: "127.0.0.1:1",
        incarnation: 0,
        sequence: 0,
        state: "open",
        weight: 1,
    };
}
