/**
 * Query strings of calls to an instance.
 *
 * @module
 */

/** The options that are given, as a query string without its `?`. */
export function queryString(
  options: Readonly<Record<string, string | number | undefined>>,
): string {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(options)) {
    if (value !== undefined) {
      query.set(name, String(value));
    }
  }
  return query.toString();
}
