/**
 * The deadline of one call out.
 *
 * @module
 */

/**
 * Does a call that is given up after a time. The timer ends with the call: one
 * that outlived it would fire, and make an error, for each call long answered.
 */
export async function withCallDeadline<T>(
  timeoutMs: number,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const timer = setTimeout(
    () => controller.abort(new Error(`no answer within ${timeoutMs} ms`)),
    Math.ceil(timeoutMs),
  );
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
  }
}
