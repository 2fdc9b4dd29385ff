/** One part of a prompt; requests with equal leading parts share the prefix that an engine has cached. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}
