/** One HTTP call, on a connection of its own or on one of an agent. */

import { request } from "node:http";

/**
 * Resolves to status and body, or to status 0 without a whole answer within the
 * timeout; the connection is then closed.
 */
export function httpCall(
  { address, method, path, body, headers, timeoutMs, agent = false },
) {
  const [host, port] = address.split(":");
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((done) => {
    const call = request({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: {
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
        ...headers,
      },
    }, (answer) => {
      const chunks = [];
      answer.on("data", (chunk) => chunks.push(chunk));
      answer.on("error", () => finish(0, undefined));
      answer.on("end", () => {
        const answered = Buffer.concat(chunks).toString("utf8");
        finish(answer.statusCode, parse(answered));
      });
    });
    const timer = setTimeout(() => {
      finish(0, undefined);
      call.destroy();
    }, timeoutMs);
    const finish = (status, answered) => {
      clearTimeout(timer);
      done({ status, body: answered });
    };
    call.on("error", () => finish(0, undefined));
    call.end(text);
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
