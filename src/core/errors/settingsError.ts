/** Settings or a configuration file with faults; each fault names its path. */
export class SettingsError extends Error {
    override readonly name = "SettingsError";
    readonly code = "invalid-settings";
    /** One line per fault: path, colon, what is wrong. */
    readonly faults: readonly string[];

    private constructor(faults: readonly string[]) {
        super(faults.join("; "));
        this.faults = faults;
    }

    /** Creates the error from the list of faults. */
    static create(faults: readonly string[]): SettingsError {
        return new SettingsError(faults);
    }
}
