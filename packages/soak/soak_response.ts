import type { IncomingMessage, ServerResponse } from "node:http";

/** What marks the end of a body that a target sends. */
export const Framing = {
  length: "length",
  chunks: "chunks",
  /** The end of the connection: a part and the whole look alike. */
  connection: "connection",
} as const;
export type Framing = typeof Framing[keyof typeof Framing];

/** Sizes of bodies, and of how many requests one has each; others are short. */
const bodySizes: readonly (readonly [size: number, oneOf: number])[] = [
  [600_000, 12],
  [150_000, 7],
  [20_000, 3],
];
const shortBodyBytes = 20;
/** A gateway streams longer bodies, which it breaks off with their targets. */
const largestDelimitedBytes = 200_000;
const maximumPauseMilliseconds = 4;
const maximumCopyDelayMilliseconds = 30;

/** Returns the whole body of the response to a request, which names it throughout. */
export function createBody(id: string): string {
  const number = Number(id.replace(/\D/g, ""));
  const [size] = bodySizes.find(([, oneOf]) => number % oneOf === 0) ??
    [shortBodyBytes];
  return `${id};`.repeat(Math.ceil(size / (id.length + 1)));
}

/**
 * Whether a caller may have received the body in a response to its request.
 *
 * @param isDelimited Whether a length or chunks marked its end.
 */
export function isOwnBody(
  id: string,
  body: string,
  isDelimited: boolean,
): boolean {
  const whole = createBody(id);
  return isDelimited ? body === whole : whole.startsWith(body);
}

/** How a target responds. */
export interface ResponsePlan {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly framing: Framing;
  /** Whether the connection ends in order in the middle of the body. */
  readonly isCut: boolean;
  /** Whether a copy follows late, whatever is sent then. */
  readonly isRepeated: boolean;
  readonly random: () => number;
  /** Called when all was sent. */
  readonly onSent: () => void;
}

/** Chooses a framing that the body may have. */
export function chooseFraming(body: string, random: () => number): Framing {
  if (body.length > largestDelimitedBytes) return Framing.connection;
  const framings = Object.values(Framing);
  return framings[Math.floor(random() * framings.length)]!;
}

/** Sends a response in two parts. */
export function sendResponse(
  { socket }: IncomingMessage,
  response: ServerResponse,
  plan: ResponsePlan,
): void {
  const { headers, body, framing, isCut, isRepeated, random, onSent } = plan;
  const pause = random() * maximumPauseMilliseconds;
  const copyDelay = random() * maximumCopyDelayMilliseconds;
  if (framing === Framing.connection) {
    response.useChunkedEncodingByDefault = false;
    response.setHeader("connection", "close");
  }
  if (framing === Framing.length) {
    response.setHeader("content-length", body.length);
  }
  response.writeHead(200, headers);
  const middle = Math.floor(random() * body.length);
  response.write(body.slice(0, middle));
  setTimeout(() => {
    if (isCut) return void socket.end();
    response.end(body.slice(middle), onSent);
  }, pause);
  if (!isRepeated) return;
  const lines = Object.entries({ ...headers, "content-length": body.length })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  setTimeout(() => {
    if (socket.writable) {
      socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n${body}`);
    }
  }, pause + copyDelay);
}
