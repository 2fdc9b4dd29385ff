import { findRoute } from "../../../src/core/routing/findRoute.js";
import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import { pickService } from "../../../src/core/routing/pickService.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";
import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import type { StreamOrigin } from "../../../src/core/streams/streamOrigin.js";
import { StreamOrigins } from "../../../src/router/streamOrigins.js";
import { computePosition } from "../../../src/shared/computePosition.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";
import { makeStreamConfiguration } from "./makeStreamConfiguration.js";
import { makeStreamMember } from "./makeStreamMember.js";
import type { SimulatedInstance } from "./simulatedInstance.js";
import type { SimulatedStream } from "./simulatedStream.js";

interface StreamFleetOptions {
    readonly instances: number;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    /** Whether a data centre reaches the others and the store; all do by default. */
    readonly isConnected?: (dataCentre: string, now: number) => boolean;
}

const LOSS_SHARE = 0.02;
const FLUSH_MS = 40;
const WATCH_MS = 1200;
const READ_INTERVAL_MS = 600;
const READ_MS = 10;
/** Targets serve on for this long after they have left the list. */
const LINGER_MS = 10_000;
/** Way to the store and back from each data centre. */
const ROUND_TRIP_MS = [4, 60, 150];
/** Members are live for this long after their last report, in the same data centre and in others. */
const LOCAL_TIMEOUT_MS = 1200;
const REMOTE_TIMEOUT_MS = 3600;
/** Time in which a started instance has heard of the others. */
const DISCOVERY_MS = 300;
const ROUTE = { ...makeRoutedRequest().route, timeoutMs: 6000 };

/** Instances that follow one list of targets and find the origins of streams, in simulated milliseconds. */
export class StreamFleet {
    readonly #options: StreamFleetOptions;
    readonly #instances: readonly SimulatedInstance[];
    readonly #byHost: ReadonlyMap<string, SimulatedInstance>;
    readonly #events = new Map<number, (() => void)[]>();
    #configuration = makeStreamConfiguration([ROUTE]);
    #targets: readonly TargetDescriptor[] = [];
    #listChangedAt = 0;
    /** When targets left the list. */
    readonly #leftAt = new Map<string, number>();
    #streams = 0;
    now = 0;
    /** Datagrams and bytes that all instances have sent. */
    readonly sent = { messages: 0, bytes: 0 };
    /** Origins that were found at instances in touch with the others, and take-ups there without one. */
    readonly inTouch = { found: 0, unknown: 0 };
    /** Take-ups at all instances that were told another version than that at which the stream began. */
    readonly wrong: string[] = [];
    /** Those that were told another service, with the time since the last change of the routes in milliseconds. */
    readonly misrouted: number[] = [];
    #routesChangedAt = 0;

    private constructor(options: StreamFleetOptions) {
        this.#options = options;
        this.#instances = Array.from({ length: options.instances }, (_, i) => ({
            member: makeStreamMember(i),
            origins: undefined,
            targets: [],
            configuration: undefined,
            readSentAt: 0,
            changedAt: 0,
        }));
        this.#byHost = new Map(this.#instances.map(instance => [instance.member.ip, instance]));
    }

    /** Creates a fleet whose instances start at time 0. */
    static create(options: StreamFleetOptions): StreamFleet {
        const fleet = new StreamFleet(options);
        fleet.#instances.forEach((_, i) => fleet.start(i));
        return fleet;
    }

    /** Number of instances that run. */
    get liveCount(): number {
        return this.#instances.filter(({ origins }) => origins).length;
    }

    /** Replaces the list of the store. */
    setTargets(targets: readonly TargetDescriptor[]): void {
        this.#targets.filter(({ id }) => targets.every(target => target.id !== id))
            .forEach(({ id }) => this.#leftAt.set(id, this.now));
        targets.forEach(({ id }) => this.#leftAt.delete(id));
        this.#targets = targets;
        this.#listChangedAt = this.now;
    }

    /** Replaces the routes of the store; those with the longest prefix come first. */
    setRoutes(routes: readonly Partial<RouteRule>[]): void {
        this.#configuration = makeStreamConfiguration(routes.map(fields => ({ ...ROUTE, ...fields })));
        this.#listChangedAt = this.now;
        this.#routesChangedAt = this.now;
    }

    /** Calls back after a time in milliseconds. */
    schedule(delayMs: number, run: () => void): void {
        const at = this.now + Math.max(1, Math.round(delayMs));
        this.#events.set(at, [...this.#events.get(at) ?? [], run]);
    }

    /** Starts an instance, which remembers nothing. */
    start(index: number): void {
        const instance = this.#get(index);
        const origins = StreamOrigins.create({
            settings: { instance: instance.member.name, maxChangeDelayMs: 2500 },
            log: { write: () => undefined },
            getNow: () => this.now,
            listMembers: () => this.#listMembers(instance),
            send: (message, host) => this.#send(instance, message, host),
        });
        const state = { origins, targets: [], configuration: undefined };
        Object.assign(instance, { ...state, readSentAt: this.now, changedAt: this.now });
        this.schedule(READ_MS, () => {
            this.#runIf(instance, origins, () => this.#read(instance, origins, true));
        });
        this.#schedulePoll(instance, origins, Math.floor(this.#options.getRandom() * FLUSH_MS));
    }

    /** Ends the process of an instance. */
    kill(index: number): void {
        Object.assign(this.#get(index), { origins: undefined, changedAt: this.now });
    }

    /** Begins a stream at an instance; `undefined` if it has no target for one. */
    startStream(index: number, path = "/x"): SimulatedStream | undefined {
        const { origins, targets, configuration } = this.#get(index);
        const streamId = `stream ${this.#streams + 1}`;
        const route = configuration && findRoute(configuration, ROUTE.host, path);
        const service = route && pickService(route, computePosition(streamId));
        const open = targets.filter(target =>
            target.service === service && !target.isDraining && origins?.mayBegin(target, this.now)
        );
        const target = open[Math.floor(this.#options.getRandom() * open.length)];
        if (!origins || !target || this.now - (this.#leftAt.get(target.id) ?? this.now) > LINGER_MS) {
            return undefined;
        }
        this.#streams += 1;
        const { host } = ROUTE;
        origins.recordBegun({ account: "a", streamId, host, path, target }, this.now);
        // What answers is the process that runs, whatever this instance has read of it.
        const running = this.#targets.find(({ id }) => id === target.id) ?? target;
        const { version } = running;
        return { streamId, path, service: target.service, version, begunBy: index, begunAt: this.now };
    }

    /** Takes a stream up at an instance. */
    takeUp(index: number, { streamId, path, service, version }: SimulatedStream): void {
        const instance = this.#get(index);
        const startedAt = this.now;
        const onFound = (origin: StreamOrigin | undefined): void => {
            if (this.#isInTouch(instance, startedAt)) {
                this.inTouch[origin ? "found" : "unknown"] += 1;
            }
            if (origin && origin.service !== service) {
                this.misrouted.push(this.now - this.#routesChangedAt);
            }
            else if (origin && origin.version !== version) {
                this.wrong.push(`${this.now} ${streamId} of ${version ?? ""}: ${origin.version}`);
            }
        };
        instance.origins?.find({ account: "a", streamId, host: ROUTE.host, path }, onFound);
    }

    /** Runs until a time. */
    run(until: number): void {
        for (; this.now < until; this.now += 1) {
            const due = this.#events.get(this.now) ?? [];
            this.#events.delete(this.now);
            due.forEach(run => run());
        }
    }

    #schedulePoll(instance: SimulatedInstance, origins: StreamOrigins, delayMs: number): void {
        this.schedule(delayMs, () =>
            this.#runIf(instance, origins, () => {
                origins.flush(this.now);
                this.#read(instance, origins, false);
                this.#schedulePoll(instance, origins, FLUSH_MS);
            }));
    }

    #runIf(instance: SimulatedInstance, origins: StreamOrigins, run: () => void): void {
        if (instance.origins === origins) {
            run();
        }
    }

    /** Reads the list as a follower of the store does: at once when it changes, but not more often than every 0.6 s. */
    #read(instance: SimulatedInstance, origins: StreamOrigins, isFirst: boolean): void {
        const { readSentAt, member } = instance;
        const hasNewRoutes = instance.configuration !== this.#configuration;
        const isChanged = isFirst || hasNewRoutes || instance.targets !== this.#targets;
        const roundTripMs = ROUND_TRIP_MS[Number(member.dataCentre.slice(2))] ?? 0;
        const dueAt = isChanged
            ? Math.max(readSentAt + READ_INTERVAL_MS, this.#listChangedAt + roundTripMs)
            : readSentAt + WATCH_MS + roundTripMs;
        const isDue = isFirst || this.now >= dueAt;
        if (!isDue || !this.#isConnected(member.dataCentre)) {
            return;
        }
        if (hasNewRoutes) {
            instance.configuration = this.#configuration;
            origins.observeConfiguration(this.#configuration, this.now);
        }
        if (isChanged) {
            instance.targets = this.#targets;
            origins.observeTargets(this.#targets, this.now);
        }
        // A long poll that a change ends may have been sent long before it.
        origins.recordConfirmation(readSentAt);
        instance.readSentAt = this.now;
    }

    #listMembers(self: SimulatedInstance): readonly MemberRecord[] {
        return this.#instances.filter(other => {
            const timeoutMs = other.member.dataCentre === self.member.dataCentre
                ? LOCAL_TIMEOUT_MS
                : REMOTE_TIMEOUT_MS;
            const isHeard = other === self || this.#isConnectedTo(self, other);
            return other.origins
                ? isHeard && this.now - Math.max(other.changedAt, self.changedAt) >= DISCOVERY_MS
                : this.now - other.changedAt < timeoutMs && other.changedAt > self.changedAt;
        }).map(({ member }) => member);
    }

    #send(sender: SimulatedInstance, message: unknown, host: string): void {
        const text = JSON.stringify(message);
        this.sent.messages += 1;
        this.sent.bytes += Buffer.byteLength(text);
        const receiver = this.#byHost.get(host);
        if (!receiver || this.#options.getRandom() < LOSS_SHARE || !this.#isConnectedTo(sender, receiver)) {
            return;
        }
        const isLocal = sender.member.dataCentre === receiver.member.dataCentre;
        const delayMs = (isLocal ? 1 : 20) + this.#options.getRandom() * 10;
        this.schedule(delayMs, () => receiver.origins?.receive(JSON.parse(text), sender.member.ip));
    }

    #isConnectedTo(a: SimulatedInstance, b: SimulatedInstance): boolean {
        return a.member.dataCentre === b.member.dataCentre
            || (this.#isConnected(a.member.dataCentre) && this.#isConnected(b.member.dataCentre));
    }

    #isConnected(dataCentre: string): boolean {
        return this.#options.isConnected?.(dataCentre, this.now) ?? true;
    }

    #isInTouch(instance: SimulatedInstance, at: number): boolean {
        return this.#isConnected(instance.member.dataCentre) && at - instance.changedAt >= WATCH_MS;
    }

    #get(index: number): SimulatedInstance {
        const instance = this.#instances[index];
        if (!instance) {
            throw new Error(`There is no instance ${index}.`);
        }
        return instance;
    }
}
