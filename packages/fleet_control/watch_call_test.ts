import { describe, expect, it } from "vitest";
import { Feature } from "./feature.ts";
import type { LeaderSession } from "./leader_session.ts";
import { packValue } from "./packed_value.ts";
import { answerWatch } from "./watch_call.ts";
import type { WatchAnswer } from "./watch.ts";
import {
  decodeWatch,
  decodeWatchAnswer,
  decodeWatchOwnPart,
  encodeWatchAnswer,
} from "./watch_codec.ts";

const redirect: WatchAnswer = { kind: "elsewhere", leader: "10.0.0.2:7390" };
const leads: WatchAnswer = { kind: "leads" };

/** A watch as a gateway of an earlier release sends it. */
function earlierWatch(isSearch: boolean) {
  return decodeWatch(packValue({ gateway: "g", isSearch, demand: [] }));
}

function ownWatch(isSearch: boolean) {
  return { ...earlierWatch(isSearch), features: [Feature.workspaces] };
}

/** A leader that adds its first workspace while it holds a watch, if asked to. */
class FakeLeadership {
  readonly redirect = redirect;
  hasWorkspaces = false;
  addsWorkspaces = false;
  isReplaced = false;
  readonly #session = this.#createSession();

  get watchedSession(): LeaderSession | undefined {
    return this.isReplaced ? undefined : this.#session;
  }

  #createSession(): LeaderSession {
    // deno-lint-ignore no-this-alias
    const leadership = this;
    return {
      get hasWorkspaces() {
        return leadership.hasWorkspaces;
      },
      watch: () => {
        leadership.hasWorkspaces ||= leadership.addsWorkspaces;
        return Promise.resolve({
          // Stands for an update.
          answer: encodeWatchAnswer(leads),
          own: { confirmedAgeMilliseconds: 7 },
        });
      },
    } as never;
  }
}

describe("the response to a watch", () => {
  async function answerTo(
    watch: Parameters<typeof answerWatch>[0],
    leadership: FakeLeadership,
  ) {
    const { answer, own } = await answerWatch(watch, leadership);
    return {
      answer: decodeWatchAnswer(answer),
      own: decodeWatchOwnPart(own),
    };
  }

  it("has a part for the gateway alone", async () => {
    const { own } = await answerTo(ownWatch(false), new FakeLeadership());
    expect(own).toEqual({ confirmedAgeMilliseconds: 7 });
  });

  it("serves gateways of earlier releases as long as there are no workspaces", async () => {
    for (const isSearch of [true, false]) {
      const { answer } = await answerTo(
        earlierWatch(isSearch),
        new FakeLeadership(),
      );
      expect(answer).toEqual(leads);
    }
  });

  // Guards against a gateway of an earlier release that serves without keys.
  it("names no leader to them once there are", async () => {
    const leadership = new FakeLeadership();
    leadership.hasWorkspaces = true;
    for (const isSearch of [true, false]) {
      const { answer, own } = await answerTo(
        earlierWatch(isSearch),
        leadership,
      );
      expect(answer).toEqual({ kind: "elsewhere", leader: null });
      expect(own).toEqual({});
      const { answer: ours } = await answerTo(ownWatch(isSearch), leadership);
      expect(ours).toEqual(leads);
    }
  });

  it("gives them no table that changed while they waited", async () => {
    const leadership = new FakeLeadership();
    leadership.addsWorkspaces = true;
    const { answer } = await answerTo(earlierWatch(false), leadership);
    expect(answer).toEqual({ kind: "elsewhere", leader: null });
  });

  it("names the leader if this VM is none", async () => {
    const leadership = new FakeLeadership();
    leadership.isReplaced = true;
    const { answer } = await answerTo(ownWatch(false), leadership);
    expect(answer).toEqual(redirect);
  });
});
