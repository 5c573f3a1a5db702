import { request as send } from "node:http";
import { Deployment, hsinchu } from "@kingcupglade/experiments";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

const askersPerListener = 10;

/** Returns how a request ended: "answered", or the code of an error. */
function sendRequest(address: string): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = send(
      { host, port, path: "/ready", agent: false },
      (response) => {
        response.resume();
        response.once("end", () => resolve("answered"));
      },
    );
    request.once(
      "error",
      (failure: NodeJS.ErrnoException) =>
        resolve(failure.code ?? failure.message),
    );
    request.end();
  });
}

describe("a VM that stops", () => {
  let deployment: Deployment;

  beforeAll(async () => {
    deployment = await Deployment.start({
      ...hsinchu,
      vms: { "vm-1": "hsinchu-a" },
      voters: ["vm-1"],
      vmsWithDisk: ["vm-1"],
    });
    await deployment.roll();
    await deployment.untilReady("vm-1");
  });

  afterAll(() => deployment.stop());

  // Guards against calls that are cut or reset when the last listeners close.
  it("answers the calls of operators, targets and VMs", async () => {
    const { operators, targets, peers } = deployment.listenersOf("vm-1");
    const addresses = { operators, targets, peers };
    const ends: string[] = [];
    const asking = Object.entries(addresses).flatMap(([name, address]) =>
      Array.from({ length: askersPerListener }, async () => {
        let end: string;
        do end = await sendRequest(address); while (end === "answered");
        ends.push(`${name}: ${end}`);
      })
    );
    await deployment.stopVm("vm-1");
    await Promise.all(asking);
    expect(ends.filter((end) => !end.endsWith("ECONNREFUSED"))).toEqual([]);
  });
});
