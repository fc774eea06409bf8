/**
 * Finds the endpoint of a call by method and path.
 *
 * @module
 */

import findMyWay from "find-my-way";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { HttpEndpoint } from "./http_endpoint.ts";

/** An endpoint and the parameters of the call's path. */
export interface EndpointMatch {
  readonly endpoint: HttpEndpoint;
  readonly parameters: Readonly<Record<string, string>>;
}

const METHODS = ["GET", "PUT", "POST", "DELETE"] as const;

/** The endpoints of all subsystems; immutable. */
export class EndpointTable {
  readonly #router = findMyWay({ maxParamLength: 256 });

  constructor(options: { endpoints: readonly HttpEndpoint[] }) {
    for (const endpoint of options.endpoints) {
      const { method, path } = endpoint;
      this.#router.on(method, path, () => undefined, endpoint);
    }
  }

  /**
   * Fails with `notFound` if no endpoint has the path, and with
   * `methodNotAllowed` if only endpoints of other methods have it.
   */
  find(method: string, path: string): Result<EndpointMatch> {
    const supportedMethod = METHODS.find((name) => name === method);
    const found = supportedMethod === undefined
      ? null
      : this.#router.find(supportedMethod, path);
    if (found !== null) {
      return Right({
        endpoint: found.store as HttpEndpoint,
        parameters: definedOnly(found.params),
      });
    }
    const allowed = METHODS.filter((name) =>
      this.#router.find(name, path) !== null
    );
    if (allowed.length === 0) {
      return failure("notFound", { detail: "There is no such path." });
    }
    return failure("methodNotAllowed", { facts: { allowed } });
  }
}

function definedOnly(
  parameters: Record<string, string | undefined>,
): Record<string, string> {
  const entries = Object.entries(parameters);
  return Object.fromEntries(
    entries.filter((entry): entry is [string, string] =>
      entry[1] !== undefined
    ),
  );
}
