/**
 * The operator: sends an order to one node after another until it is
 * acknowledged, each with a timeout of a second (PROTOCOL.md, "The operator's
 * API").
 */

import { httpCall } from "./http_call.mjs";
import { sleep } from "./deployment.mjs";

const CALL_TIMEOUT_MS = 1_000;
const BACKOFF_MS = 100;
const ATTEMPTS_LIMIT = 20;

export const API_KEY = "d4a3hwrr6x73d3zji9n7";
export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";

/** One queue, whose tasks run on the workers of the service "pool". */
export const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-1",
    host: HOST,
    pathPrefix: PREFIX,
    routeType: "non_idempotent",
    timeoutMs: 3_000,
    sloMs: 500,
    priority: 0,
    service: "pool",
    attempts: 3,
    stretch: 3,
    public: false,
    allowedRegions: [],
  }],
  services: [{
    name: "pool",
    healthPath: "/healthz",
    maxConns: 64,
    protocol: "h1",
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
    admissionControl: true,
    standby: false,
  }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{
    name: "kaje80",
    apiKeys: [API_KEY],
    priority: 1,
    guaranteed: { gpu: 0 },
    allowedRegions: [],
  }],
};

export class Operator {
  #addresses;
  #record;

  constructor({ controlAddresses, record }) {
    this.#addresses = controlAddresses;
    this.#record = record;
  }

  /**
   * Sends an order, first to the node at `first`; resolves to the time of its
   * acknowledgement.
   */
  async order(method, path, { first = 0, body } = {}) {
    for (let attempt = 0; attempt < ATTEMPTS_LIMIT; attempt++) {
      const at = (first + attempt) % this.#addresses.length;
      const address = this.#addresses[at];
      this.#record.note(`operator: ${method} ${path} to ${address}`);
      const { status } = await httpCall({
        address,
        method,
        path,
        body,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      const answer = status === 0 ? "no answer within 1 s" : `answer ${status}`;
      this.#record.note(`operator: ${method} ${path}: ${answer}`);
      if (status >= 200 && status < 300) {
        return this.#record.nowMs();
      }
      await sleep(BACKOFF_MS * (attempt + 1));
    }
    throw new Error(`${method} ${path} was not acknowledged`);
  }

  configure() {
    const path = "/sesamethread/config";
    return this.order("PUT", path, { body: CONFIGURATION });
  }
}
