import type { Announcement } from "@kingcupglade/membership";
import type { VmOptions } from "kingcupglade";
import { request } from "undici";
import { Deployment } from "./deployment.ts";
import { tavares } from "./tavares.ts";

const targetsPort = 8200;

/** An announcement without its optional fields. */
export type BasicAnnouncement = Pick<
  Announcement,
  | "target"
  | "boot"
  | "service"
  | "dataCentre"
  | "address"
  | "slots"
  | "connections"
  | "coldSlots"
  | "condition"
>;

/** Options of {@link startSingleGateway}. */
export interface SingleGatewayOptions {
  /** Announcements that are sent periodically while the gateway runs. */
  readonly announcements: readonly BasicAnnouncement[];
  readonly announceIntervalMilliseconds: number;
  /** Overrides of the policy, for measurements. @default none */
  readonly policy?: VmOptions["policy"];
}

/** A VM that serves callers, with targets that are only announced. */
export interface SingleGateway {
  readonly host: string;
  readonly port: number;
  readonly stop: () => Promise<void>;
}

/** Starts one VM of Tavares and waits until it is ready. */
export async function startSingleGateway(
  options: SingleGatewayOptions,
): Promise<SingleGateway> {
  const { announcements, announceIntervalMilliseconds, policy } = options;
  const deployment = await Deployment.start({
    ...tavares,
    vms: { "vm-1": "recife-a" },
    voters: ["vm-1"],
    vmsWithDisk: ["vm-1"],
    ...(policy ? { policy: () => policy } : {}),
  });
  await deployment.roll();
  const [host, callersPort] = deployment.callersAddress("vm-1").split(":");
  const announce = async (announcement: BasicAnnouncement) => {
    const { body } = await request(`http://${host}:${targetsPort}/announce`, {
      method: "POST",
      headers: { authorization: `Bearer ${deployment.secret}` },
      body: JSON.stringify(announcement),
    });
    await body.dump();
  };
  const announceAll = () => Promise.allSettled(announcements.map(announce));
  await announceAll();
  const timer = setInterval(
    () => void announceAll(),
    announceIntervalMilliseconds,
  );
  await deployment.untilReady("vm-1");
  return {
    host: host!,
    port: Number(callersPort),
    stop: () => {
      clearInterval(timer);
      return deployment.stop();
    },
  };
}
