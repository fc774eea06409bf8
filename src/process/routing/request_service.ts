/**
 * Answers callers' requests: idempotent ones by routing them, others by
 * routing them under a claim in the ledger of their home data centre.
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
import type { ReadRequest } from "./read_request.ts";
import { RequestClaim } from "./request_claim.ts";
import type { RoutedAnswer, RoutedEnd } from "./routed_call.ts";
import type { Router } from "./router.ts";
import type { RoutingMetrics } from "./routing_metrics.ts";

/** An answer for a caller. */
export interface CallerAnswer extends RoutedAnswer {
  /** Whether the ledger gave it again. */
  readonly isRecorded: boolean;
}

/** What the service is built from. */
export interface RequestServiceOptions {
  readonly instanceId: InstanceId;
  readonly incarnation: number;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly eventLog: EventLog;
  readonly metrics: RoutingMetrics;
  readonly router: Router;
  readonly ledger: Pick<Ledger, "ask">;
  readonly configuration: ConfigurationSource;
}

/** Ends every request of a caller truthfully. */
export class RequestService {
  readonly #options: RequestServiceOptions;
  readonly #settling = new Set<Promise<void>>();
  #lastId = 0;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /** A name for a request whose caller gave none; its home is here. */
  newRequestId(): string {
    const { dataCentre, instanceId, incarnation } = this.#options;
    const id = `${instanceId}.${incarnation}.${++this.#lastId}`;
    return `${dataCentre}${HOME_SEPARATOR}${id}`;
  }

  /** Ends one request. */
  async answer(
    { record, isNamed }: ReadRequest,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const { clock, eventLog, metrics } = this.#options;
    const needsClaim = isNamed && !record.isIdempotent;
    const result = needsClaim
      ? await this.#answerClaimed(record, options)
      : (await this.#options.router.route(record, options)).result
        .map(freshAnswer);
    const outcome = result.caseOf<string>({
      Left: (error) => error.kind,
      Right: () => "answered",
    });
    const durationMs = clock.nowMs() - record.receivedAtMs;
    metrics.countEnd(record.requestClass, outcome);
    metrics.recordCompletion(record.requestClass, durationMs);
    const { requestId } = record;
    eventLog.emit("requestEnded", { requestId, outcome });
    return result;
  }

  /** Returns once all outcomes are recorded, as far as that succeeds. */
  async drain(): Promise<void> {
    while (this.#settling.size > 0) {
      await Promise.all(this.#settling);
    }
  }

  async #answerClaimed(
    record: RequestRecord,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const claim = this.#claimOf(record);
    const { router } = this.#options;
    if (router.wouldRefuse(record)) {
      const found = await claim.find();
      return found.caseOf({
        Left: unknownEnd,
        Right: (reply) =>
          reply.kind === "absent"
            ? this.#refuse(record, options)
            : Promise.resolve(recordedEnd(reply, record)),
      });
    }
    const taken = await claim.take();
    return taken.caseOf({
      Left: unknownEnd,
      Right: (reply) =>
        reply.kind === "granted"
          ? this.#routeClaimed(record, claim, options)
          : Promise.resolve(recordedEnd(reply, record)),
    });
  }

  /** Words the refusal; routing can't have changed its mind to a sending. */
  #refuse(
    record: RequestRecord,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const { router } = this.#options;
    if (router.wouldRefuse(record)) {
      const detail = "The queue can't meet its deadline.";
      return Promise.resolve(failure("overloaded", { detail }));
    }
    return this.#answerClaimed(record, options);
  }

  async #routeClaimed(
    record: RequestRecord,
    claim: RequestClaim,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    const end = await this.#options.router.route(record, options);
    const settling = this.#settle(claim, end);
    this.#settling.add(settling);
    void settling.then(() => this.#settling.delete(settling));
    return end.result.map(freshAnswer);
  }

  async #settle(claim: RequestClaim, end: RoutedEnd): Promise<void> {
    await claim.settle(await end.knowledge);
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

/** Nothing was sent now; whether an earlier try was, can't be told. */
function unknownEnd(error: SesameError): Promise<Result<CallerAnswer>> {
  const detail = "The ledger of requests can't be asked. " + error.message;
  const facts = { isSentNow: false };
  return Promise.resolve(failure("outcomeUnknown", { detail, facts }));
}

/** The end of a request that another call of its caller has. */
function recordedEnd(
  reply: LedgerReply,
  { requestId }: RequestRecord,
): Result<CallerAnswer> {
  switch (reply.kind) {
    case "ended":
      return endedBefore(reply, requestId);
    case "reused":
      return failure("identityReused");
    case "full": {
      const detail = "There is no room to remember the request.";
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

function endedBefore(
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
          detail: "It was run; its answer was too large to be kept.",
          facts: { wasRun: true, httpStatus: outcome.httpStatus },
        }),
      );
    case "unknown":
      return failure("outcomeUnknown", {
        detail: "An earlier try was sent and no answer came.",
      });
  }
}
