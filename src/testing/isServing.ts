import { request } from "undici";

/** Returns whether the instance at a caller address has a configuration and lists at least one entry. */
export async function isServing(address: string): Promise<boolean> {
    try {
        const chat = await request(`http://${address}/v1/chat/completions`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: "{}",
        });
        await chat.body.dump();
        const list = await request(`http://${address}/v1/entries`);
        const { entries } = await list.body.json() as { entries?: readonly unknown[]; };
        return chat.statusCode === 401 && (entries?.length ?? 0) > 0;
    }
    catch {
        return false;
    }
}
