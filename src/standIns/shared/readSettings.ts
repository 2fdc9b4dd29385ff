/** Reads the settings of a stand-in: one JSON object as the only argument of the process. */
export function readSettings<T extends object>(defaults: T): T {
    const argument = process.argv[2];
    return argument === undefined ? defaults : { ...defaults, ...JSON.parse(argument) as Partial<T> };
}
