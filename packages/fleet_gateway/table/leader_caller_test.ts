import { packValue } from "@kingcupglade/fleet_control";
import type { PeerClients } from "@kingcupglade/fleet_control";
import { describe, expect, it, vi } from "vitest";
import {
  callLeader,
  callLeaderForQuota,
  ControlUnavailableError,
} from "./leader_caller.ts";

describe("a call to the leader", () => {
  const respond = vi.fn((_request: { readonly forward: boolean }) =>
    Promise.resolve({ reply: packValue({ kind: "recorded" }) })
  );
  const client = vi.fn((_address: string) => ({
    suspect: respond,
    quota: respond,
  }));
  const clients = { client } as unknown as PeerClients;
  const suspectCall = {
    kind: "ran",
    gateway: "g",
    digest: "d",
  } as const;
  const callers = [
    ["suspect", callLeader.bind(null, suspectCall)],
    ["quota", callLeaderForQuota.bind(null, {} as never)],
  ] as const;

  // Guards against calls that stay on a path that is cut while watches take
  // another.
  it.each(callers)(
    "takes the path of the watches (%s)",
    async (_name, call) => {
      await call({ clients, path: { leader: "a", through: null } });
      expect(client.mock.lastCall?.[0]).toBe("a");
      expect(respond.mock.lastCall?.[0]).toMatchObject({ forward: false });
      await call({ clients, path: { leader: "a", through: "b" } });
      expect(client.mock.lastCall?.[0]).toBe("b");
      expect(respond.mock.lastCall?.[0]).toMatchObject({ forward: true });
    },
  );

  it.each(callers)("fails without a path (%s)", async (_name, call) => {
    await expect(call({ clients, path: null }))
      .rejects.toBeInstanceOf(ControlUnavailableError);
  });
});
