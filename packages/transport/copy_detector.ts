const responseStart = Buffer.from("HTTP/1.");
const statusLine = /^HTTP\/1\.\d \d{3}(?: |$)/;
const headerLine = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+:/;

/** The lines of a response's head that are examined are shorter. */
const maximumLineBytes = 1024;

/**
 * Finds the head of another response in a body: a target may write a copy of an
 * earlier response on the connection while it sends a later one.
 */
export class CopyDetector {
  readonly #isOfOther: (name: string, value: string) => boolean;
  /** End of what was examined, which may be the beginning of a line. */
  #rest: Buffer = Buffer.alloc(0);
  #isInHead = false;

  /**
   * @param isOfOther Returns whether a header, with its name in lower case, says
   * that the head which holds it belongs to another response.
   */
  constructor(isOfOther: (name: string, value: string) => boolean) {
    this.#isOfOther = isOfOther;
  }

  /** Adds the next part of the body; returns whether it holds such a header. */
  add(part: Buffer): boolean {
    let rest = this.#rest.length > 0 ? Buffer.concat([this.#rest, part]) : part;
    for (;;) {
      if (!this.#isInHead) {
        const at = rest.indexOf(responseStart);
        if (at < 0) {
          const keptBytes = Math.min(rest.length, responseStart.length - 1);
          rest = rest.subarray(rest.length - keptBytes);
          break;
        }
        rest = rest.subarray(at);
      }
      // Without a bound, each start of a head would examine all that follows.
      const lineEnd = rest.subarray(0, maximumLineBytes).indexOf("\n");
      if (lineEnd < 0 && rest.length < maximumLineBytes) break;
      const line = lineEnd < 0
        ? undefined
        : rest.toString("latin1", 0, lineEnd).replace(/\r$/, "");
      const wasInHead = this.#isInHead;
      this.#isInHead = line !== undefined &&
        (wasInHead ? headerLine : statusLine).test(line);
      if (this.#isInHead) {
        if (wasInHead && this.#isHeaderOfOther(line!)) return true;
        rest = rest.subarray(lineEnd + 1);
      } else if (!wasInHead) rest = rest.subarray(responseStart.length);
    }
    // A view would keep all that was read with it.
    this.#rest = Buffer.from(rest);
    return false;
  }

  #isHeaderOfOther(line: string): boolean {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).toLowerCase();
    return this.#isOfOther(name, line.slice(colon + 1).trim());
  }
}
