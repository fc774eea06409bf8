/**
 * The timeline of all instances: queries the peers for their records and merges
 * them.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import type { InstanceId } from "../../base/identity.ts";
import {
  type Clock,
  failure,
  type Result,
  type Timer,
} from "../../base/mod.ts";
import type {
  PeerChannel,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";
import {
  type HttpAnswer,
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "../http/http_endpoint.ts";
import type { Timeline } from "./timeline.ts";
import {
  mergeRecords,
  type TimelineQuery,
  timelineQuerySchema,
  type TimelineRecord,
  timelineRecordSchema,
} from "./timeline_record.ts";

/** How long to wait for the answers of peers. */
const PEER_ANSWER_TIMEOUT_MS = 1_000;

const timelineMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("ask"),
    askId: z.int(),
    query: timelineQuerySchema,
  }),
  z.strictObject({
    kind: z.literal("tell"),
    askId: z.int(),
    records: z.array(timelineRecordSchema).max(5_000),
  }),
]);

type TimelineMessage = z.infer<typeof timelineMessageSchema>;

/** The merged timeline, and the peers whose records it lacks. */
export interface MergedTimeline {
  readonly records: readonly TimelineRecord[];
  /** The peers that did not answer in time. */
  readonly missing: readonly InstanceId[];
}

interface PendingQuery {
  readonly waitingFor: Set<InstanceId>;
  readonly recordLists: TimelineRecord[][];
  readonly finish: () => void;
}

/** Options of a {@link TimelineService}. */
export interface TimelineServiceOptions {
  readonly timeline: Timeline;
  readonly network: PeerNetwork;
  readonly clock: Clock;
}

/** Serves `GET /v1/timeline` with the records of all reachable instances. */
export class TimelineService {
  #options: TimelineServiceOptions;
  #channel: PeerChannel<TimelineMessage>;
  #pendingQueries = new Map<number, PendingQuery>();
  #nextAskId = 1;

  constructor(options: TimelineServiceOptions) {
    this.#options = options;
    this.#channel = options.network.channel<TimelineMessage>({
      name: "timeline",
      decode: decodeMessage,
    });
    this.#channel.received.observe((received) => this.#receive(received));
  }

  /** The HTTP endpoints for the daemon's server. */
  endpoints(): HttpEndpoint[] {
    return [{
      method: "GET",
      path: "/v1/timeline",
      bodyLimitBytes: 0,
      handle: (call) => this.#answer(call),
    }];
  }

  /** The records of all instances that answer in time, in causal order. */
  collect(query: TimelineQuery): Promise<MergedTimeline> {
    const askId = this.#nextAskId++;
    return new Promise((resolve) => {
      const pending: PendingQuery = {
        waitingFor: new Set(this.#options.network.peerIds),
        recordLists: [this.#options.timeline.read(query)],
        finish: () => {
          timer.close();
          this.#pendingQueries.delete(askId);
          resolve({
            records: mergeRecords(pending.recordLists, query),
            missing: [...pending.waitingFor],
          });
        },
      };
      const timer: Timer = this.#options.clock.after(
        PEER_ANSWER_TIMEOUT_MS,
        pending.finish,
      );
      this.#pendingQueries.set(askId, pending);
      this.#queryPeers(askId, query);
      finishWhenComplete(pending);
    });
  }

  close(): void {
    this.#channel.close();
    for (const pending of [...this.#pendingQueries.values()]) {
      pending.finish();
    }
  }

  #queryPeers(askId: number, query: TimelineQuery): void {
    for (const peerId of this.#options.network.peerIds) {
      this.#channel.send(peerId, { kind: "ask", askId, query });
    }
  }

  #receive({ from, message }: Received<TimelineMessage>): void {
    switch (message.kind) {
      case "ask":
        this.#channel.send(from, {
          kind: "tell",
          askId: message.askId,
          records: this.#options.timeline.read(message.query),
        });
        return;
      case "tell":
        this.#addRecords(from, message.askId, message.records);
        return;
    }
  }

  #addRecords(
    from: InstanceId,
    askId: number,
    records: TimelineRecord[],
  ): void {
    const pending = this.#pendingQueries.get(askId);
    if (pending === undefined || !pending.waitingFor.delete(from)) {
      return;
    }
    pending.recordLists.push(records);
    finishWhenComplete(pending);
  }

  async #answer(call: HttpCall): Promise<Result<HttpAnswer>> {
    const query = readQuery(call.query);
    if (query.isLeft()) {
      return query;
    }
    const merged = await this.collect(query.extract() as TimelineQuery);
    return Right(jsonAnswer(200, merged));
  }
}

function finishWhenComplete(pending: PendingQuery): void {
  if (pending.waitingFor.size === 0) {
    pending.finish();
  }
}

function decodeMessage(body: unknown): Result<TimelineMessage> {
  const checked = timelineMessageSchema.safeParse(body);
  return checked.success ? Right(checked.data) : failure("malformed");
}

function readQuery(parameters: URLSearchParams): Result<TimelineQuery> {
  const checked = timelineQuerySchema.safeParse({
    instance: parameters.get("instance") ?? undefined,
    jobId: parameters.get("job") ?? undefined,
    requestId: parameters.get("request") ?? undefined,
    afterMs: readNumber(parameters, "afterMs"),
    limit: readNumber(parameters, "limit"),
  });
  if (checked.success) {
    return Right(checked.data);
  }
  const issue = checked.error.issues[0];
  return failure("malformed", {
    detail: `${issue?.path.join(".")}: ${issue?.message}`,
  });
}

function readNumber(
  parameters: URLSearchParams,
  name: string,
): number | undefined {
  const text = parameters.get(name);
  return text === null ? undefined : Number(text);
}
