// Fills a settings template as the platform does: values, and sections for
// lists, tables and present values.

/** Returns the template with the fields filled in. */
export function renderTemplate(template, fields) {
  return render(template, [fields], undefined);
}

function render(text, scopes, key) {
  const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  const match = section.exec(text);
  if (!match) return fill(text, scopes, key);
  const [whole, sign, name, inner] = match;
  const before = text.slice(0, match.index);
  const after = text.slice(match.index + whole.length);
  const value = find(name, scopes);
  return fill(before, scopes, key) +
    renderSection(sign, value, { inner, scopes, key }) +
    render(after, scopes, key);
}

function renderSection(sign, value, { inner, scopes, key }) {
  const isEmpty = value === undefined || value === null || value === false;
  if (sign === "^") return isEmpty ? render(inner, scopes, key) : "";
  if (isEmpty) return "";
  const entries = typeof value === "object" ? Object.entries(value) : undefined;
  return entries
    ? entries.map(([at, each]) => render(inner, [each, ...scopes], at)).join("")
    : render(inner, [value, ...scopes], key);
}

function fill(text, scopes, key) {
  return text.replace(/\{\{([^}]+)\}\}/g, (_, name) => {
    if (name === "@") return String(key);
    const value = find(name, scopes);
    if (value === undefined || value === null) return "";
    if (Array.isArray(value)) return value.join(",");
    return typeof value === "object" ? JSON.stringify(value) : String(value);
  });
}

function find(name, scopes) {
  if (name === ".") return scopes[0];
  for (const scope of scopes) {
    const value = name.split(".").reduce(
      (inside, part) =>
        inside === undefined || inside === null ? undefined : inside[part],
      scope,
    );
    if (value !== undefined) return value;
  }
  return undefined;
}
