/** Scheme, authority and the rest of a target in absolute form. */
const absoluteForm = /^https?:\/\/([^/?#]*)(.*)$/is;

/**
 * Returns the host, with its port, and the path, with its query, of a request
 * target in absolute form; undefined for another form. Nothing is normalized.
 */
export function readAbsoluteForm(
  url: string,
): { readonly host: string; readonly path: string } | undefined {
  const parts = absoluteForm.exec(url);
  if (!parts) return undefined;
  const [, authority = "", rest = ""] = parts;
  return {
    host: authority.slice(authority.lastIndexOf("@") + 1),
    path: rest.startsWith("/") ? rest : `/${rest}`,
  };
}
