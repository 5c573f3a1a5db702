/** One line of a plot. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
}

/** A plot of lines over two axes. */
export interface Plot {
  readonly title: string;
  /** Label of the horizontal axis. */
  readonly x: string;
  /** Label of the vertical axis. */
  readonly y: string;
  readonly series: readonly PlotSeries[];
}

const width = 720;
const height = 420;
const margin = { left: 70, right: 150, top: 40, bottom: 50 } as const;
const colours = ["#1b6ca8", "#c0392b", "#27843b", "#8e44ad", "#b9770e"];
/** Maximum number of steps between the ticks of an axis. */
const maximumSteps = 6;
const roundSteps = [1, 2, 5, 10] as const;
/** Maximum number of points drawn for each line. */
const maximumPoints = 400;

/** Draws a line plot as SVG. */
export function linePlot(plot: Plot): string {
  const points = plot.series.flatMap((each) => each.points);
  const x = scaleOf(points.map((each) => each.x), {
    from: margin.left,
    to: width - margin.right,
  });
  const y = scaleOf(points.map((each) => each.y), {
    from: height - margin.bottom,
    to: margin.top,
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    text(plot.title, width / 2, 20, "middle"),
    text(
      plot.x,
      (margin.left + width - margin.right) / 2,
      height - 12,
      "middle",
    ),
    `<text transform="translate(16,${
      height / 2
    }) rotate(-90)" text-anchor="middle">${escape(plot.y)}</text>`,
    ...x.ticks.flatMap((value) => [
      text(format(value), x.at(value), height - margin.bottom + 18, "middle"),
    ]),
    ...y.ticks.flatMap((value) => [
      `<line x1="${margin.left}" x2="${width - margin.right}" y1="${
        y.at(value)
      }" y2="${y.at(value)}" stroke="#ddd"/>`,
      text(format(value), margin.left - 8, y.at(value) + 4, "end"),
    ]),
    ...plot.series.flatMap((series, index) =>
      drawSeries(series, { x, y, index })
    ),
    "</svg>",
    "",
  ].join("\n");
}

interface Scale {
  readonly at: (value: number) => number;
  readonly ticks: readonly number[];
}

function scaleOf(
  values: readonly number[],
  space: { readonly from: number; readonly to: number },
): Scale {
  const lowest = values.reduce((low, each) => Math.min(low, each), Infinity);
  const highest = values.reduce(
    (high, each) => Math.max(high, each),
    -Infinity,
  );
  const step = roundStep(highest > lowest ? highest - lowest : 1);
  const low = Math.floor(lowest / step) * step;
  const steps = Math.max(1, Math.ceil((highest - low) / step));
  const span = steps * step;
  return {
    at: (value) =>
      Math.round(
        (space.from + (value - low) / span * (space.to - space.from)) * 10,
      ) / 10,
    ticks: Array.from(
      { length: steps + 1 },
      (_, index) => low + step * index,
    ),
  };
}

/**
 * Returns the smallest of 1, 2, 5, 10, 20, ... (or tenths and so on) that
 * divides a span into at most `maximumSteps` steps.
 */
function roundStep(span: number): number {
  const power = 10 ** Math.floor(Math.log10(span / maximumSteps));
  const factor = roundSteps.find((each) =>
    span / (each * power) <= maximumSteps
  );
  return (factor ?? 10) * power;
}

function drawSeries(
  series: PlotSeries,
  context: { readonly x: Scale; readonly y: Scale; readonly index: number },
): readonly string[] {
  const { x, y, index } = context;
  const colour = colours[index % colours.length]!;
  const path = downsample(series.points)
    .map((each) => `${x.at(each.x)},${y.at(each.y)}`).join(" ");
  const legend = width - margin.right + 12;
  const top = margin.top + 16 + index * 18;
  return [
    `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.5"/>`,
    `<rect x="${legend}" y="${
      top - 9
    }" width="10" height="10" fill="${colour}"/>`,
    text(series.name, legend + 16, top, "start"),
  ];
}

/** Keeps only the highest point of each group, so that peaks remain visible. */
function downsample(points: PlotSeries["points"]): PlotSeries["points"] {
  const groupSize = Math.max(1, Math.ceil(points.length / maximumPoints));
  return Array.from(
    { length: Math.ceil(points.length / groupSize) },
    (_, group) =>
      points.slice(group * groupSize, (group + 1) * groupSize)
        .reduce((highest, each) => each.y > highest.y ? each : highest),
  );
}

function text(
  content: string,
  ...[x, y, anchor]: readonly [number, number, "start" | "middle" | "end"]
): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${
    escape(content)
  }</text>`;
}

function format(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

function escape(content: string): string {
  return content.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
