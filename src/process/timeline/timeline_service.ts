/**
 * The time line of the whole system: asks the peers for their records and
 * merges them.
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

/** How long the peers get to answer. */
const PEER_ANSWER_LIMIT_MS = 1_000;

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

/** A merged time line and the peers that it lacks. */
export interface MergedTimeline {
  readonly records: readonly TimelineRecord[];
  /** Instances that did not answer in time. */
  readonly missing: readonly InstanceId[];
}

interface OpenAsk {
  readonly waitingFor: Set<InstanceId>;
  readonly parts: TimelineRecord[][];
  readonly finish: () => void;
}

/** How a {@link TimelineService} is made. */
export interface TimelineServiceOptions {
  readonly timeline: Timeline;
  readonly network: PeerNetwork;
  readonly clock: Clock;
}

/** Answers `GET /v1/timeline`, over all instances that can be reached. */
export class TimelineService {
  #options: TimelineServiceOptions;
  #channel: PeerChannel<TimelineMessage>;
  #asks = new Map<number, OpenAsk>();
  #nextAskId = 1;

  constructor(options: TimelineServiceOptions) {
    this.#options = options;
    this.#channel = options.network.channel<TimelineMessage>({
      name: "timeline",
      decode: decodeMessage,
    });
    this.#channel.received.observe((received) => this.#receive(received));
  }

  /** What the daemon's HTTP front serves. */
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
      const ask: OpenAsk = {
        waitingFor: new Set(this.#options.network.peerIds),
        parts: [this.#options.timeline.read(query)],
        finish: () => {
          timer.close();
          this.#asks.delete(askId);
          resolve({
            records: mergeRecords(ask.parts, query),
            missing: [...ask.waitingFor],
          });
        },
      };
      const timer: Timer = this.#options.clock.after(
        PEER_ANSWER_LIMIT_MS,
        ask.finish,
      );
      this.#asks.set(askId, ask);
      this.#askPeers(askId, query);
      finishWhenComplete(ask);
    });
  }

  close(): void {
    this.#channel.close();
    for (const ask of [...this.#asks.values()]) {
      ask.finish();
    }
  }

  #askPeers(askId: number, query: TimelineQuery): void {
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
        this.#takePart(from, message.askId, message.records);
        return;
    }
  }

  #takePart(from: InstanceId, askId: number, records: TimelineRecord[]): void {
    const ask = this.#asks.get(askId);
    if (ask === undefined || !ask.waitingFor.delete(from)) {
      return;
    }
    ask.parts.push(records);
    finishWhenComplete(ask);
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

function finishWhenComplete(ask: OpenAsk): void {
  if (ask.waitingFor.size === 0) {
    ask.finish();
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
