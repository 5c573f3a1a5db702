import type { ExternalResponse } from "./control_wire.ts";

/** Time after which a call no longer holds up the others of its batch. */
const batchedCallMilliseconds = 350;

/**
 * Waits for the responses to calls that were relayed together. Calls that take
 * long get `late` in place of theirs, so that the others are answered while
 * their senders wait.
 */
export async function answerBatch(
  served: readonly Promise<ExternalResponse>[],
  late: ExternalResponse,
): Promise<readonly ExternalResponse[]> {
  if (served.length <= 1) return await Promise.all(served);
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<ExternalResponse>((resolve) => {
    timer = setTimeout(() => resolve(late), batchedCallMilliseconds);
  });
  try {
    return await Promise.all(
      served.map((each) => Promise.race([each, timeout])),
    );
  } finally {
    clearTimeout(timer);
  }
}
