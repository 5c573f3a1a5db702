import { delay } from "./fault_injector.ts";
import { LinkFlow } from "./link_proxy.ts";
import type { Link, LinkFilter, LinkNetwork } from "./link_proxy.ts";

/** Faults of links; those of one VM mostly concern the leader. */
export const LinkScenario = {
  silenceAll: "silence all",
  silenceTwice: "silence all twice",
  silenceCore: "silence between control VMs",
  silenceGateways: "silence from gateways",
  silenceSeries: "silence all in series",
  silenceGatewaysSeries: "silence from gateways in series",
  isolate: "isolate a control VM",
  isolateInCore: "isolate a control VM from the others",
  cutGateway: "cut a gateway off a control VM",
  cutLeaderPath: "cut a gateway off the leader",
  cutOut: "cut what a control VM sends",
  cutIn: "cut what a control VM receives",
  reset: "reset the connections of a control VM",
  delay: "delay the links of a control VM",
  mute: "leave new connections to a control VM unanswered",
} as const;
export type LinkScenario = typeof LinkScenario[keyof typeof LinkScenario];

/** Scenarios in which every gateway stays in contact. */
export const silences: readonly LinkScenario[] = [
  LinkScenario.silenceAll,
  LinkScenario.silenceCore,
  LinkScenario.silenceGateways,
  LinkScenario.silenceSeries,
  LinkScenario.silenceGatewaysSeries,
];

/**
 * Scenarios that excuse no gateway, although the operators' rules count one that
 * is cut off a control VM as out of contact: the other control VMs reach it.
 */
export const unexcused: readonly LinkScenario[] = [LinkScenario.cutLeaderPath];

/** What is drawn from; seeds that were listed before keep their faults. */
const drawn = Object.values(LinkScenario).filter((each) =>
  !unexcused.includes(each)
);

const silenceShare = 0.4;
const leaderShare = 0.6;
/** Share of the faults after which all VMs get into contact again. */
const calmShare = 0.5;
const calmMilliseconds = 3500;
const minimumGapMilliseconds = 200;
const gapSpreadMilliseconds = 1000;
const minimumDurationMilliseconds = 300;
const durationSpreadMilliseconds = 2500;
/** Faults begin within this time of an acknowledgement or an election. */
const nearMilliseconds = 500;
const atOnceShare = 0.4;
const maximumWaitMilliseconds = 1000;
const maximumAgainMilliseconds = 2000;
const seriesCount = 3;
/**
 * Longer than a VM is excused, and shorter than the connections of a search for
 * the leader stay open.
 */
const seriesMilliseconds = 3050;
const minimumDelayMilliseconds = 20;
const delaySpreadMilliseconds = 150;
const electionShare = 0.5;
/** Longer than the time in which a change comes into force. */
const minimumPathMilliseconds = 3000;
const pathSpreadMilliseconds = 3000;

/** Options of {@link LinkFaults}. */
export interface LinkFaultsOptions {
  readonly network: LinkNetwork;
  /** Names of the control VMs. */
  readonly control: readonly string[];
  readonly gateways: readonly string[];
  readonly nextAcknowledgement: () => Promise<void>;
  /** Returns the name of the leader, as the VMs log it; undefined for none. */
  readonly findLeader: () => string | undefined;
  /** The only scenarios. @default all */
  readonly scenarios?: readonly LinkScenario[] | undefined;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Injects faults of links by a seeded schedule, in series and overlapping. */
export class LinkFaults {
  /** Descriptions of the faults in order, with their moments. */
  readonly log: string[] = [];
  readonly #options: LinkFaultsOptions;
  readonly #repairs = new Set<Promise<void>>();

  constructor(options: LinkFaultsOptions) {
    this.#options = options;
  }

  /** Injects faults for the given time and waits until all are repaired. */
  async run(milliseconds: number): Promise<void> {
    const { random } = this.#options;
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      const scenario = this.#selectScenario();
      await this.#awaitAcknowledgement();
      await this.#inject(scenario);
      await delay(
        random() < calmShare
          ? calmMilliseconds
          : minimumGapMilliseconds + random() * gapSpreadMilliseconds,
      );
    }
    await Promise.all(this.#repairs);
  }

  #selectScenario(): LinkScenario {
    const { random, scenarios } = this.#options;
    if (scenarios) return select(scenarios, random);
    return random() < silenceShare
      ? select(silences, random)
      : select(drawn, random);
  }

  async #awaitAcknowledgement(): Promise<void> {
    const { random, nextAcknowledgement } = this.#options;
    const after = random() < atOnceShare ? 0 : random() * nearMilliseconds;
    await Promise.race([
      nextAcknowledgement(),
      delay(maximumWaitMilliseconds),
    ]);
    await delay(after);
  }

  async #inject(scenario: LinkScenario): Promise<void> {
    const { network, control, gateways, random } = this.#options;
    const leader = this.#options.findLeader();
    const vm = leader !== undefined && random() < leaderShare
      ? leader
      : select(control, random);
    const gateway = select(gateways, random);
    const isCore = ({ source }: Link) => control.includes(source);
    const touchesVm = ({ source, destination }: Link) =>
      source === vm || destination === vm;
    const holdFlow = (flow: LinkFlow) =>
      network.hold((link, held) =>
        link.source === vm && held === flow ||
        link.destination === vm && held !== flow
      );
    switch (scenario) {
      case LinkScenario.silenceAll:
        this.#log(scenario);
        return network.silence(() => true);
      case LinkScenario.silenceTwice: {
        this.#log(scenario);
        network.silence(() => true);
        const again = random() * maximumAgainMilliseconds;
        return this.#repairAfter(again, () => network.silence(() => true));
      }
      case LinkScenario.silenceCore:
        this.#log(scenario);
        return network.silence(isCore);
      case LinkScenario.silenceGateways:
        this.#log(scenario);
        return network.silence((link) => !isCore(link));
      case LinkScenario.silenceSeries:
        return await this.#silenceInSeries(scenario, () => true);
      case LinkScenario.silenceGatewaysSeries:
        return await this.#silenceInSeries(scenario, (link) => !isCore(link));
      case LinkScenario.reset:
        this.#log(`${scenario}: ${vm}`);
        return network.reset(touchesVm);
      case LinkScenario.isolate:
        return this.#hold(`${scenario}: ${vm}`, network.hold(touchesVm));
      case LinkScenario.isolateInCore:
        return this.#hold(
          `${scenario}: ${vm}`,
          network.hold((link) => isCore(link) && touchesVm(link)),
        );
      case LinkScenario.cutGateway:
        return this.#hold(
          `${scenario}: ${gateway}, ${vm}`,
          network.hold(({ source, destination }) =>
            source === gateway && destination === vm
          ),
        );
      case LinkScenario.cutLeaderPath: {
        const destination = leader ?? vm;
        const milliseconds = minimumPathMilliseconds +
          random() * pathSpreadMilliseconds;
        this.#log(
          `${scenario}: ${gateway}, ${destination} for ${
            Math.round(milliseconds)
          } ms`,
        );
        const repair = network.hold((link) =>
          link.source === gateway && link.destination === destination
        );
        return this.#repairAfter(milliseconds, repair);
      }
      case LinkScenario.cutOut:
        return this.#hold(`${scenario}: ${vm}`, holdFlow(LinkFlow.requests));
      case LinkScenario.cutIn:
        return this.#hold(`${scenario}: ${vm}`, holdFlow(LinkFlow.responses));
      case LinkScenario.delay: {
        const milliseconds = Math.round(
          minimumDelayMilliseconds + random() * delaySpreadMilliseconds,
        );
        return this.#hold(
          `${scenario}: ${vm}, ${milliseconds} ms`,
          network.delay(touchesVm, milliseconds),
        );
      }
      case LinkScenario.mute:
        return this.#hold(
          `${scenario}: ${vm}`,
          network.mute(({ destination }) => destination === vm),
        );
    }
  }

  async #silenceInSeries(
    scenario: LinkScenario,
    filter: LinkFilter,
  ): Promise<void> {
    const { network, nextAcknowledgement } = this.#options;
    for (let count = 0; count < seriesCount; count += 1) {
      if (count > 0) await delay(seriesMilliseconds);
      await Promise.race([
        nextAcknowledgement(),
        delay(maximumWaitMilliseconds),
      ]);
      this.#log(scenario);
      network.silence(filter);
    }
  }

  #hold(description: string, repair: () => void): void {
    const { random } = this.#options;
    const milliseconds = minimumDurationMilliseconds +
      random() * durationSpreadMilliseconds;
    this.#log(`${description} for ${Math.round(milliseconds)} ms`);
    this.#repairAfter(milliseconds, repair);
    if (random() < electionShare) this.#followElection();
  }

  /** Silences the gateways' connections as another VM becomes the leader. */
  #followElection(): void {
    const { findLeader, control, network } = this.#options;
    const follow = async () => {
      const before = findLeader();
      const until = performance.now() + maximumAgainMilliseconds;
      while (performance.now() < until) {
        await delay(50);
        if (findLeader() === before) continue;
        this.#log("silence from gateways, after an election");
        return network.silence(({ source }) => !control.includes(source));
      }
    };
    this.#addRepair(follow());
  }

  #repairAfter(milliseconds: number, repair: () => void): void {
    this.#addRepair(delay(milliseconds).then(repair));
  }

  #addRepair(repair: Promise<void>): void {
    const repaired = repair.then(() => {
      this.#repairs.delete(repaired);
    });
    this.#repairs.add(repaired);
  }

  #log(description: string): void {
    const seconds = (performance.now() / 1000).toFixed(3);
    this.log.push(
      `at ${seconds} s (${new Date().toISOString()}): ${description}`,
    );
  }
}

function select<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)]!;
}
