// Generates the tables of docs/CAPACITY.md from the slopes in docs/measurements/
// (measured use of a resource per unit of load) and the sizes and rows in
// docs/capacity_model.json. With `--check`, fails if the page is out of date.
import { readdirSync, readFileSync, writeFileSync } from "node:fs";

const page = "docs/CAPACITY.md";
const measurementsFolder = "docs/measurements";
const startMarker = "<!-- computed: start -->";
const endMarker = "<!-- computed: end -->";

const slopes = new Map();
for (
  const file of readdirSync(measurementsFolder).filter((each) =>
    each.endsWith(".json")
  )
) {
  const { slopes: measured } = JSON.parse(
    readFileSync(`${measurementsFolder}/${file}`, "utf8"),
  );
  for (const slope of measured) slopes.set(slope.name, { ...slope, file });
}
const { sizes, rows } = JSON.parse(
  readFileSync("docs/capacity_model.json", "utf8"),
);

const text = readFileSync(page, "utf8");
const [before, rest] = text.split(startMarker);
const after = rest?.split(endMarker)[1];
if (after === undefined) {
  throw new Error(
    `${page} lacks the markers "${startMarker}" and "${endMarker}"`,
  );
}
const computed = `${startMarker}\n\n${
  computeTables().join("\n\n")
}\n\n${endMarker}`;
if (process.argv.includes("--check")) {
  if (
    normalizeWhitespace(`${before}${computed}${after}`) !==
      normalizeWhitespace(text)
  ) {
    console.error(`${page} is out of date; run node tools/capacity.mjs`);
    process.exit(1);
  }
} else writeFileSync(page, `${before}${computed}${after}`);

function computeTables() {
  const roles = [...new Set(rows.map((row) => row.role))];
  return roles.map((role) =>
    [
      `### ${role}`,
      "",
      "| resource | worked out | bound | mechanism |",
      "| --- | --- | --- | --- |",
      ...rows.filter((row) => row.role === role).map(formatRow),
    ].join("\n")
  );
}

function formatRow(row) {
  const terms = row.terms.map(resolveTerm);
  const total = terms.reduce((sum, term) => sum + term.value, 0);
  const formula = terms.map((term) =>
    `${formatNumber(term.count)} ${term.per} × ${formatNumber(term.slope)}`
  ).join(" + ");
  const scale = row.scale ?? 1;
  const isMissed = row.bound !== undefined && total * scale > row.bound;
  const bound = row.bound === undefined
    ? ""
    : `${row.bound} ${row.unit}${isMissed ? ", **missed**" : ""}`;
  return `| ${row.resource} | ${formula} = **${
    formatNumber(total * scale)
  } ${row.unit}** | ${bound} | ${row.mechanism} |`;
}

function resolveTerm(term) {
  const slope = slopes.get(term.slope);
  if (!slope) throw new Error(`unknown slope "${term.slope}"`);
  const count = typeof term.count === "string"
    ? evaluate(term.count)
    : term.count;
  return {
    value: slope.value * count,
    slope: slope.value,
    count,
    per: term.per,
  };
}

/** Evaluates a product or quotient of sizes and numbers, such as "keys/nodes". */
function evaluate(expression) {
  const [first, ...others] = expression.split(/(?=[*/])/);
  return others.reduce((value, part) => {
    const operand = parseOperand(part.slice(1));
    return part[0] === "*" ? value * operand : value / operand;
  }, parseOperand(first));
}

function parseOperand(operand) {
  const value = sizes[operand.trim()] ?? Number(operand);
  if (!Number.isFinite(value)) throw new Error(`unknown size "${operand}"`);
  return value;
}

function formatNumber(value) {
  if (value >= 1000) return Math.round(value).toLocaleString("en");
  return String(Number(value.toPrecision(3)));
}

// The formatter pads the tables of the page.
function normalizeWhitespace(markdown) {
  return markdown.replace(/[ \t]+/g, " ").replace(/-{3,}/g, "---")
    .replace(/\s+\n/g, "\n");
}
