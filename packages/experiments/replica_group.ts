import { randomBytes, randomInt } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { unpackMessage } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { decodeValue, Replication } from "@kingcupglade/protocol";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createLogger, createMetrics } from "@kingcupglade/telemetry";
import { PeerDirectory, ReplicaHost, UnaryServices } from "kingcupglade";
import type { ReplicaTask, ResolvedSettings } from "kingcupglade";

const port = 8600;

/** Faults that can be injected into a member of a {@link ReplicaGroup}. */
export const MemberFault = {
  none: "none",
  /** Every message to and from the member fails immediately. */
  cutOff: "cutOff",
  /** Every message to and from the member is held and never answered. */
  frozen: "frozen",
} as const;
export type MemberFault = typeof MemberFault[keyof typeof MemberFault];

interface Member {
  readonly vm: string;
  readonly server: Server;
  readonly sockets: Set<Socket>;
  host: ReplicaHost | undefined;
  fault: MemberFault;
  messages: number;
  closedBytes: number;
}

/** Messages and bytes exchanged by the members so far. */
export interface GroupTraffic {
  readonly messages: number;
  /** Bytes on the sockets in both directions, including headers. */
  readonly bytes: number;
}

/** Control replicas on real folders and sockets, without the rest of a VM. */
export class ReplicaGroup {
  readonly #members: Member[] = [];
  readonly #network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
  readonly #secret = randomBytes(24).toString("hex");
  readonly #folder: string;
  readonly #size: number;

  protected constructor(folder: string, size: number) {
    this.#folder = folder;
    this.#size = size;
  }

  /** Starts a group and waits until it has a leader. */
  static async start(size: number): Promise<ReplicaGroup> {
    const folder = await mkdtemp(join(tmpdir(), "kingcupglade-group-"));
    const group = new ReplicaGroup(folder, size);
    for (let index = 0; index < size; index += 1) {
      group.#members.push(await group.#listen(index));
    }
    await Promise.all(group.#members.map((each) => group.#openReplica(each)));
    await group.untilLeader();
    return group;
  }

  /** Folder that contains the data folders. */
  get folder(): string {
    return this.#folder;
  }

  /** Messages and bytes exchanged by all members so far. */
  get traffic(): GroupTraffic {
    let messages = 0;
    let bytes = 0;
    for (const member of this.#members) {
      messages += member.messages;
      bytes += member.closedBytes;
      for (const socket of member.sockets) bytes += bytesOf(socket);
    }
    return { messages, bytes };
  }

  /** Returns the index of the leader, ignoring member `excluded`. */
  leader(excluded?: number): number | undefined {
    const index = this.#members.findIndex((each, position) =>
      position !== excluded && each.host?.replica?.isReadyLeader
    );
    return index < 0 ? undefined : index;
  }

  /** Returns the replica of a member. @throws {Error} If it runs none. */
  replica(index: number): ReplicaTask {
    const replica = this.#members[index]?.host?.replica;
    if (!replica) throw new Error(`member ${index} runs no replica`);
    return replica;
  }

  /** Waits until a member other than `excluded` is the leader. */
  async untilLeader(excluded?: number): Promise<ReplicaTask> {
    const until = performance.now() + 30_000;
    while (performance.now() < until) {
      const index = this.leader(excluded);
      if (index !== undefined) return this.replica(index);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    throw new Error("no replica became leader");
  }

  /** Sets or clears the fault of a member. */
  setFault(index: number, fault: MemberFault): void {
    const member = this.#members[index]!;
    member.fault = fault;
    if (fault === MemberFault.none) return;
    for (const socket of member.sockets) {
      if (fault === MemberFault.cutOff) socket.destroy();
    }
  }

  /** Crashes a member. */
  async crash(index: number): Promise<void> {
    const member = this.#members[index]!;
    this.setFault(index, MemberFault.cutOff);
    await member.host?.stop();
    member.host = undefined;
  }

  /** Restarts a crashed member. */
  async restart(index: number): Promise<void> {
    const member = this.#members[index]!;
    member.fault = MemberFault.none;
    await this.#openReplica(member);
  }

  /** Stops everything and removes the folders. */
  async stop(): Promise<void> {
    for (const member of this.#members) {
      await member.host?.stop();
      for (const socket of member.sockets) socket.destroy();
      member.server.close();
    }
    await rm(this.#folder, { recursive: true, force: true });
  }

  #address(index: number): string {
    return `${this.#network}.${index + 1}`;
  }

  async #listen(index: number): Promise<Member> {
    const server = createServer();
    const member: Member = {
      vm: `vm-${index + 1}`,
      server,
      sockets: new Set(),
      host: undefined,
      fault: MemberFault.none,
      messages: 0,
      closedBytes: 0,
    };
    server.on("connection", (socket) => {
      member.sockets.add(socket);
      socket.once("close", () => {
        member.sockets.delete(socket);
        member.closedBytes += bytesOf(socket);
      });
    });
    server.on("request", this.#createHandler(member));
    await new Promise<void>((resolve) =>
      server.listen(port, this.#address(index), resolve)
    );
    return member;
  }

  #createHandler(member: Member): RequestListener {
    const services = new UnaryServices({ secret: this.#secret });
    services.service(Replication, {
      deliver: async ({ from, messages }) => {
        await this.#applyFault(member);
        const sender = from.slice(0, from.indexOf("."));
        const source = this.#members.find((each) => each.vm === sender);
        if (source) await this.#applyFault(source);
        member.messages += messages.length;
        const responses = await member.host?.receive(
          from,
          messages.map((each) =>
            unpackMessage(decodeValue(each)) as ConsensusMessage
          ),
        ) ?? [];
        member.messages += responses.length;
        return { messages: responses };
      },
      hello: () => {
        const hello = member.host?.hello;
        return {
          replica: hello?.replica ?? "",
          member: hello?.member ?? false,
          founders: [...hello?.founders ?? []],
        };
      },
      found: async ({ voters }) => ({
        accepted: (await member.host?.bootstrap(voters)) ?? false,
      }),
    });
    return (request, response) => {
      if (!services.handle(request, response)) response.writeHead(404).end();
    };
  }

  async #applyFault({ fault }: Member): Promise<void> {
    if (fault === MemberFault.none) return;
    if (fault === MemberFault.cutOff) throw new Error("the link is cut");
    await new Promise((resolve) => setTimeout(resolve, 60_000).unref());
    throw new Error("the message was held");
  }

  async #openReplica(member: Member): Promise<void> {
    const vms = Array.from(
      { length: this.#size },
      (_, index) => `vm-${index + 1}`,
    );
    const settings = {
      vm: { name: member.vm, dataCentre: "local", region: "local" },
      control: { voters: vms },
    } as unknown as ResolvedSettings;
    const addresses = Object.fromEntries(
      vms.map((vm, index) => [vm, `${this.#address(index)}:${port}`]),
    );
    member.host = await ReplicaHost.open({
      settings,
      folder: join(this.#folder, member.vm),
      peers: new PeerDirectory({ addresses, secret: this.#secret }),
      clock: new MonotonicClock(),
      logger: createLogger({ fields: {}, level: "silent" }),
      metrics: createMetrics(),
      onChange: () => {},
    });
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
