/**
 * Query strings for calls to an instance.
 *
 * @module
 */

/** Encodes the options that are defined, without a leading `?`. */
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
