/** A client of one account, which sends a job again after no clear answer. */

import { httpCall } from "./http_call.mjs";
import { sleep } from "./deployment.mjs";
import { API_KEY, HOST, PREFIX } from "./operator.mjs";

const TIMEOUT_MS = 3_000;
const ATTEMPTS_LIMIT = 5;

export class Client {
  #addresses;
  #record;

  constructor({ frontAddresses, record }) {
    this.#addresses = frontAddresses;
    this.#record = record;
  }

  /** Hands a job in; true once it is accepted. */
  async submit(jobId, steps) {
    for (let attempt = 0; attempt < ATTEMPTS_LIMIT; attempt++) {
      const { status } = await this.#call("POST", jobId, attempt, {
        spec: "text",
        steps,
      });
      if (status >= 200 && status < 300) {
        return true;
      }
      await sleep(300);
    }
    return false;
  }

  /** Asks for a job's state; undefined without a 200 that names one. */
  async state(jobId) {
    const { status, body } = await this.#call("GET", jobId, 0);
    return status === 200 ? body?.state : undefined;
  }

  async #call(method, jobId, attempt, body) {
    const address = this.#addresses[attempt % this.#addresses.length];
    const answer = await httpCall({
      address,
      method,
      path: `${PREFIX}${jobId}`,
      body,
      headers: {
        host: HOST,
        "x-api-key": API_KEY,
        "sesamethread-timeout-ms": String(TIMEOUT_MS),
      },
      timeoutMs: TIMEOUT_MS,
    });
    const shown = answer.status === 0
      ? "no answer"
      : `answer ${answer.status} ${JSON.stringify(answer.body)}`;
    this.#record.note(`client: ${method} ${jobId} at ${address}: ${shown}`);
    return answer;
  }
}
