import type { IncomingMessage, ServerResponse } from "node:http";
import { AnnouncementError, parseAnnouncement } from "@kingcupglade/membership";
import { AnnouncementRateError } from "./announcement_batcher.ts";
import type { AnnouncementBatcher } from "./announcement_batcher.ts";
import {
  BodyTooLargeError,
  presentsSecret,
  readBody,
  sendJson,
} from "@kingcupglade/transport";
import type { ResolvedTls } from "../settings/tls.ts";
import { HttpListener } from "@kingcupglade/transport";

const maximumAnnouncementBytes = 4096;

/** Opens the listener on which targets announce themselves. */
export function openTargetsListener(options: {
  readonly address: string;
  readonly tls: ResolvedTls;
  readonly secret: string;
  readonly batcher: AnnouncementBatcher;
}): Promise<HttpListener> {
  const { address, secret, batcher } = options;
  return HttpListener.open({
    name: "targets",
    tls: options.tls,
    address,
    handler: (request, response) => {
      void serveAnnouncement(request, { response, secret, batcher });
    },
  });
}

async function serveAnnouncement(
  request: IncomingMessage,
  context: {
    readonly response: ServerResponse;
    readonly secret: string;
    readonly batcher: AnnouncementBatcher;
  },
): Promise<void> {
  const { response, secret, batcher } = context;
  if (!presentsSecret(request.headers.authorization, secret)) {
    return sendJson(response, 401, {
      error: "the target secret is missing or wrong",
    });
  }
  if (request.method !== "POST" || request.url !== "/announce") {
    return sendJson(response, 404, { error: "use POST /announce" });
  }
  try {
    const body = await readBody(request, maximumAnnouncementBytes);
    const announcement = parseAnnouncement(parseJson(body));
    const reply = await batcher.announce(announcement);
    sendJson(response, reply.accepted ? 200 : 409, reply);
  } catch (failure) {
    sendJson(response, statusOf(failure), {
      error: (failure as Error).message,
    });
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch (cause) {
    throw new AnnouncementError("the announcement is not JSON", { cause });
  }
}

function statusOf(failure: unknown): number {
  if (failure instanceof AnnouncementError) return 400;
  if (failure instanceof BodyTooLargeError) return 413;
  if (failure instanceof AnnouncementRateError) return 429;
  return 503;
}
