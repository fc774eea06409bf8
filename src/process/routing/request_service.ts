/**
 * Answers callers' requests. Non-idempotent requests whose caller gave them an
 * ID are routed under a claim in the ledger of their home data centre, all
 * others without a claim.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import {
  HOME_SEPARATOR,
  type Ledger,
  type LedgerReply,
  requestHome,
} from "../ledger/mod.ts";
import type { ParsedRequest } from "./read_request.ts";
import { RequestClaim } from "./request_claim.ts";
import type { RoutedAnswer, RouteResult } from "./routed_call.ts";
import type { Router } from "./router.ts";
import type { RoutingMetrics } from "./routing_metrics.ts";

/** An answer for a caller; a recorded one has an empty `serverId`. */
export interface CallerAnswer extends RoutedAnswer {
  /** Whether it is an earlier answer recorded in the ledger. */
  readonly isRecorded: boolean;
}

/** Options of a {@link RequestService}. */
export interface RequestServiceOptions {
  readonly instanceId: InstanceId;
  readonly incarnation: number;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly eventLog: EventLog;
  readonly metrics: RoutingMetrics;
  readonly router: Router;
  readonly ledger: Pick<Ledger, "execute">;
  readonly configuration: ConfigurationSource;
}

/**
 * Answers callers' requests. No error says that a request wasn't run when a
 * server may have run it.
 */
export class RequestService {
  readonly #options: RequestServiceOptions;
  readonly #pendingRecordings = new Set<Promise<void>>();
  #lastId = 0;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /** An ID for a request without one; its home is this data centre. */
  newRequestId(): string {
    const { dataCentre, instanceId, incarnation } = this.#options;
    const id = `${instanceId}.${incarnation}.${++this.#lastId}`;
    return `${dataCentre}${HOME_SEPARATOR}${id}`;
  }

  /** Answers one request. */
  async answer(
    { record, hasCallerId }: ParsedRequest,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const { clock, eventLog, metrics } = this.#options;
    const needsClaim = hasCallerId && !record.isIdempotent;
    const result = needsClaim
      ? await this.#answerClaimed(record, options)
      : (await this.#options.router.route(record, options)).result
        .map(freshAnswer);
    const outcome = result.caseOf<string>({
      Left: (error) => error.kind,
      Right: () => "answered",
    });
    const durationMs = clock.nowMs() - record.receivedAtMs;
    metrics.countOutcome(record.requestClass, outcome);
    metrics.recordCompletion(record.requestClass, durationMs);
    const { requestId } = record;
    eventLog.emit("requestEnded", { requestId, outcome });
    return result;
  }

  /** Resolves once all outcomes are recorded or recording has timed out. */
  async drain(): Promise<void> {
    while (this.#pendingRecordings.size > 0) {
      await Promise.all(this.#pendingRecordings);
    }
  }

  async #answerClaimed(
    record: RequestRecord,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const claim = this.#claimOf(record);
    const { router } = this.#options;
    if (router.wouldRefuse(record)) {
      const found = await claim.lookUp();
      return found.caseOf({
        Left: ledgerUnreachable,
        Right: (reply) =>
          reply.kind === "absent"
            ? this.#refuseOrRestart(record, options)
            : Promise.resolve(recordedResult(reply, record)),
      });
    }
    const acquired = await claim.acquire();
    return acquired.caseOf({
      Left: ledgerUnreachable,
      Right: (reply) =>
        reply.kind === "granted"
          ? this.#routeClaimed(record, claim, options)
          : Promise.resolve(recordedResult(reply, record)),
    });
  }

  /** Refuses the request, or starts over if routing now admits it. */
  #refuseOrRestart(
    record: RequestRecord,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const { router } = this.#options;
    if (router.wouldRefuse(record)) {
      const detail = "The service can't take the request in time.";
      return Promise.resolve(failure("overloaded", { detail }));
    }
    return this.#answerClaimed(record, options);
  }

  async #routeClaimed(
    record: RequestRecord,
    claim: RequestClaim,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const routeResult = await this.#options.router.route(record, options);
    const recording = this.#recordOutcome(claim, routeResult);
    this.#pendingRecordings.add(recording);
    void recording.then(() => this.#pendingRecordings.delete(recording));
    return routeResult.result.map(freshAnswer);
  }

  async #recordOutcome(
    claim: RequestClaim,
    routeResult: RouteResult,
  ): Promise<void> {
    await claim.recordOutcome(await routeResult.finalOutcome);
  }

  #claimOf(record: RequestRecord): RequestClaim {
    const { document } = this.#options.configuration.current();
    const { clock, ledger, dataCentre } = this.#options;
    const { instanceId, incarnation } = this.#options;
    const dataCentres = Object.keys(document.dataCentres).sort();
    return new RequestClaim({
      ledger,
      clock,
      record,
      home: requestHome(record.requestId, dataCentres) ?? dataCentre,
      claimant: `${instanceId}.${incarnation}.${++this.#lastId}`,
      retentionMs: document.services[record.service]?.outcomeRetentionMs ?? 0,
    });
  }
}

function freshAnswer(routed: RoutedAnswer): CallerAnswer {
  return { ...routed, isRecorded: false };
}

/** Nothing was sent now, but an earlier try may have been. */
function ledgerUnreachable(error: SesameError): Promise<Result<CallerAnswer>> {
  const detail = "The request ledger can't be reached. " + error.message;
  const facts = { isSentNow: false };
  return Promise.resolve(failure("outcomeUnknown", { detail, facts }));
}

/** The result of a request that the ledger knows already or can't record. */
function recordedResult(
  reply: LedgerReply,
  { requestId }: RequestRecord,
): Result<CallerAnswer> {
  switch (reply.kind) {
    case "ended":
      return earlierResult(reply, requestId);
    case "reused":
      return failure("identityReused");
    case "full": {
      const detail = "The ledger has no room for the request.";
      return failure("overloaded", { detail });
    }
    case "held": {
      const detail = "An earlier try of the request hasn't ended.";
      return failure("outcomeUnknown", { detail });
    }
    case "granted":
    case "done":
    case "notHeld":
    case "absent":
      return failure("internal");
  }
}

function earlierResult(
  { outcome }: Extract<LedgerReply, { kind: "ended" }>,
  requestId: string,
): Result<CallerAnswer> {
  switch (outcome.kind) {
    case "answered": {
      const { httpStatus, contentType, body } = outcome;
      const answer = { requestId, httpStatus, contentType, body };
      return Right({ answer, serverId: "", isRecorded: true });
    }
    case "answeredUnkept":
      return Left(
        new SesameError("outcomeUnknown", {
          detail: "The request was run; its answer was too large to be stored.",
          facts: { wasRun: true, httpStatus: outcome.httpStatus },
        }),
      );
    case "unknown":
      return failure("outcomeUnknown", {
        detail: "An earlier try was sent, but no answer came.",
      });
  }
}
