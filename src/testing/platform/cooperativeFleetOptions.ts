/** Size and times of a fleet of router processes with stand-ins. */
export interface CooperativeFleetOptions {
    readonly instances: number;
    readonly engines: number;
    readonly plainTargets: number;
    /** Time in milliseconds for which keys are accepted without a new confirmation. */
    readonly revocationMs: number;
    readonly stopTimeoutSeconds: number;
    /** Software versions of the first targets, in turn; without them, all have one version, which no event names. */
    readonly versions?: readonly string[];
    /** Number of responses of each target of which the last has neither a length nor chunks. @default all have one */
    readonly unframedEvery?: number;
    /** Limit of the resident memory of each instance in MiB. @default 256 */
    readonly memoryMb?: number;
    /** Arguments of Node.js for each instance. @default none */
    readonly runtimeArguments?: readonly string[];
    /** Whether the log of each instance is read after its first line. @default true */
    readonly isOutputRead?: boolean;
    /** Limit of the open descriptors of each instance. @default that of the operating system */
    readonly maxDescriptors?: number;
    /** Called with each log line of an instance. */
    readonly onLogLine?: (host: string, line: string) => void;
}
