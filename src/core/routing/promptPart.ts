/** One part of a prompt; requests with equal leading parts share what an engine has read of them. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}
