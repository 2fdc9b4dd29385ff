/** Returns the defaults with the settings applied that the process got as a JSON object in its only argument. */
export function readSettings<T extends object>(defaults: T): T {
    const argument = process.argv[2];
    return argument === undefined ? defaults : { ...defaults, ...JSON.parse(argument) as Partial<T> };
}
