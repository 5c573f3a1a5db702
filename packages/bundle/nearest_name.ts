const maximumDistance = 3;

/**
 * Returns the known name with the lowest edit distance, if that is at most 3.
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const ranked = known
    .map((each) => ({
      each,
      distance: editDistance(name.toLowerCase(), each.toLowerCase()),
    }))
    .filter(({ distance }) => distance <= maximumDistance)
    .sort((left, right) => left.distance - right.distance);
  return ranked[0]?.each;
}

/** Returns the Levenshtein distance of two strings. */
function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const replacementCost = previous[column - 1]! +
        (left[row - 1] === right[column - 1] ? 0 : 1);
      current.push(
        Math.min(
          replacementCost,
          previous[column]! + 1,
          current[column - 1]! + 1,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length]!;
}
