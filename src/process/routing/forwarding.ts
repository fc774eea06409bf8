/**
 * Forwards requests to other data centres, which may answer them in time when
 * this one can't, and answers the requests that they forward.
 *
 * @module
 */

import { Packr } from "msgpackr";
import type { Clock, Timer } from "../../base/clock.ts";
import { Execution } from "../../base/error_kind.ts";
import type {
  DataCentreId,
  InstanceId,
  ServiceId,
} from "../../base/identity.ts";
import type {
  PeerChannel,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type { BackendAttemptEnd } from "./backend_client.ts";
import { AttemptResult } from "./core/mod.ts";
import { ForwardDeduplicator } from "./forward_deduplicator.ts";
import {
  decodeForwardMessage,
  type ForwardedCall,
  forwardedCallSchema,
  type ForwardedEnd,
  forwardedEndSchema,
  type ForwardMessage,
  type ForwardPart,
} from "./forward_message.ts";
import { PartAssembler, splitIntoParts } from "./forward_parts.ts";
import { RemotePeers } from "./remote_peers.ts";
import type { RouteResult } from "./routed_call.ts";
import type { Router } from "./router.ts";
import type { RoutingInstance } from "./routing_instance.ts";

/** Options of a {@link Forwarding}. */
export interface ForwardingOptions {
  readonly self: RoutingInstance;
  readonly peers: readonly RoutingInstance[];
  readonly incarnation: number;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly router: Router;
}

/** Period of the check whether free slots are to be reported. */
const LOAD_CHECK_PERIOD_MS = 300;

/** Free slots that hardly change are reported again after this long. */
const LOAD_REFRESH_MS = 1_000;

/** A change by this fraction or more is reported at the next check. */
const LOAD_CHANGE_FRACTION = 0.1;

/** How long past its deadline a forwarded call's result is waited for. */
const RESULT_GRACE_MS = 6_000;

const PACKR = new Packr({ useRecords: false });

const UNKNOWN_END: BackendAttemptEnd = {
  result: AttemptResult.ambiguous,
  answer: undefined,
  fault: undefined,
};

/** A forwarded request that waits for its end. */
interface PendingResult {
  readonly requestId: string;
  readonly settle: (end: BackendAttemptEnd) => void;
}

/** The forwarding of one instance. */
export class Forwarding {
  readonly #options: ForwardingOptions;
  readonly #channel: PeerChannel<ForwardMessage>;
  readonly #assembler: PartAssembler;
  readonly #deduplicator = new ForwardDeduplicator();
  readonly #remotePeers: RemotePeers;
  readonly #timer: Timer;
  readonly #pendingResults = new Map<number, PendingResult>();
  #lastForwardId = 0;
  #lastReport: LoadReport = { atMs: -Infinity, freeSlots: {} };

  constructor(options: ForwardingOptions) {
    this.#options = options;
    this.#remotePeers = new RemotePeers(options);
    this.#assembler = new PartAssembler({ clock: options.clock });
    this.#channel = options.network.channel({
      name: "forwarding",
      decode: decodeForwardMessage,
    });
    this.#channel.received.observe((received) => this.#receive(received));
    this.#timer = options.clock.every(
      LOAD_CHECK_PERIOD_MS,
      () => this.#reportLoad(),
    );
    options.router.setForwarder((decision, record) =>
      this.forward(record, decision.dataCentre)
    );
  }

  /** Forwards the request; `notSent` when it can't have arrived complete. */
  forward(
    record: RequestRecord,
    dataCentre: DataCentreId,
  ): Promise<BackendAttemptEnd> {
    const peer = this.#remotePeers.reserveSlot(dataCentre, record.service);
    const forwardId = ++this.#lastForwardId;
    const packed = this.#packCall(record);
    const isSent = peer !== undefined &&
      this.#sendParts(peer, packed, { flow: "call", forwardId });
    if (!isSent) {
      const result = AttemptResult.notSent;
      return Promise.resolve({ ...UNKNOWN_END, result });
    }
    const { clock } = this.#options;
    return new Promise((resolve) => {
      const leftMs = record.deadlineMs + RESULT_GRACE_MS - clock.nowMs();
      const timer = clock.after(leftMs, () => settle(UNKNOWN_END));
      const settle = (end: BackendAttemptEnd): void => {
        timer.close();
        this.#pendingResults.delete(forwardId);
        resolve(end);
      };
      this.#pendingResults.set(forwardId, {
        requestId: record.requestId,
        settle,
      });
    });
  }

  close(): void {
    this.#timer.close();
    this.#channel.close();
    [...this.#pendingResults.values()].forEach(({ settle }) =>
      settle(UNKNOWN_END)
    );
  }

  #packCall(record: RequestRecord): Uint8Array {
    const { receivedAtMs: _, deadlineMs, ...rest } = record;
    const timeoutMs = deadlineMs - this.#options.clock.nowMs();
    return PACKR.pack({ formatVersion: 1, timeoutMs, record: rest });
  }

  /** False when a part was dropped, so the message can't arrive complete. */
  #sendParts(
    to: InstanceId,
    packed: Uint8Array,
    head: { flow: "call" | "end"; forwardId: number; incarnation?: number },
  ): boolean {
    const { incarnation } = this.#options;
    return splitIntoParts(packed, { incarnation, ...head })
      .every((part) => this.#channel.send(to, part));
  }

  #receive({ from, message }: Received<ForwardMessage>): void {
    switch (message.kind) {
      case "load": {
        const { sentAtMs, freeSlots } = message;
        this.#channel.send(from, { kind: "loadEcho", sentAtMs });
        this.#remotePeers.recordLoad(from, freeSlots);
        break;
      }
      case "loadEcho":
        this.#remotePeers.recordEcho(from, message.sentAtMs);
        break;
      case "part":
        this.#receivePart(from, message);
        break;
    }
  }

  #receivePart(from: InstanceId, part: ForwardPart): void {
    const packed = this.#assembler.add(from, part);
    if (packed === undefined) {
      return;
    }
    if (part.flow === "end") {
      this.#receiveEnd(part, unpack(packed));
      return;
    }
    const call = forwardedCallSchema.safeParse(unpack(packed));
    if (call.success && this.#deduplicator.accept(from, part)) {
      void this.#answer(from, part, call.data);
    }
  }

  #receiveEnd(part: ForwardPart, body: unknown): void {
    const end = forwardedEndSchema.safeParse(body);
    const pending = this.#pendingResults.get(part.forwardId);
    const isOurs = part.incarnation === this.#options.incarnation;
    if (!end.success || pending === undefined || !isOurs) {
      return;
    }
    const { result, answer } = end.data;
    pending.settle({
      result,
      fault: undefined,
      answer: answer === undefined ? undefined : {
        requestId: pending.requestId,
        contentType: answer.contentType,
        httpStatus: answer.httpStatus,
        body: answer.body,
      },
    });
  }

  async #answer(
    from: InstanceId,
    part: ForwardPart,
    call: ForwardedCall,
  ): Promise<void> {
    const { clock, router } = this.#options;
    const receivedAtMs = clock.nowMs();
    const record: RequestRecord = {
      ...call.record,
      clientAccount: call.record.clientAccount,
      contentType: call.record.contentType,
      receivedAtMs,
      deadlineMs: receivedAtMs + call.timeoutMs,
    };
    const routeResult = await router.route(record, { isForwarded: true });
    const packed = PACKR.pack(await toForwardedEnd(routeResult));
    const { forwardId, incarnation } = part;
    this.#sendParts(from, packed, { flow: "end", forwardId, incarnation });
  }

  #reportLoad(): void {
    const { clock, network, router } = this.#options;
    const nowMs = clock.nowMs();
    const freeSlots: Record<ServiceId, number> = {};
    for (const [service, { servers, queuedCalls }] of router.core.services) {
      const free = servers.freeSlots(nowMs) - queuedCalls;
      freeSlots[service] = Math.max(0, free);
    }
    const isDue = nowMs >= this.#lastReport.atMs + LOAD_REFRESH_MS;
    if (!isDue && !isSignificantChange(freeSlots, this.#lastReport.freeSlots)) {
      return;
    }
    this.#lastReport = { atMs: nowMs, freeSlots };
    for (const peer of network.linkedPeerIds()) {
      if (this.#remotePeers.isRemote(peer)) {
        this.#channel.send(peer, { kind: "load", sentAtMs: nowMs, freeSlots });
      }
    }
  }
}

/** The last load report to other data centres. */
interface LoadReport {
  readonly atMs: number;
  readonly freeSlots: Readonly<Record<ServiceId, number>>;
}

function isSignificantChange(
  freeSlots: LoadReport["freeSlots"],
  before: LoadReport["freeSlots"],
): boolean {
  return Object.entries(freeSlots).some(([service, free]) => {
    const reported = before[service];
    const margin = Math.max(1, LOAD_CHANGE_FRACTION * (reported ?? 0));
    return reported === undefined || Math.abs(free - reported) >= margin;
  });
}

/** Waits for the final outcome when the result leaves it open. */
async function toForwardedEnd(routeResult: RouteResult): Promise<ForwardedEnd> {
  const routed = routeResult.result.caseOf({
    Left: () => undefined,
    Right: (answer) => answer,
  });
  const isNotRun = routeResult.result.caseOf({
    Left: (error) => error.answer.execution !== Execution.unknown,
    Right: () => false,
  });
  if (isNotRun) {
    return { formatVersion: 1, result: AttemptResult.notSent };
  }
  const finalOutcome = routed === undefined
    ? await routeResult.finalOutcome
    : { kind: "answered" as const, routed };
  switch (finalOutcome.kind) {
    case "notRun":
      return { formatVersion: 1, result: AttemptResult.notSent };
    case "unknown":
      return { formatVersion: 1, result: AttemptResult.ambiguous };
    case "answered": {
      const { httpStatus, contentType, body } = finalOutcome.routed.answer;
      return {
        formatVersion: 1,
        result: AttemptResult.answered,
        answer: {
          httpStatus,
          ...(contentType === undefined ? {} : { contentType }),
          body: new Uint8Array(body),
        },
      };
    }
  }
}

function unpack(bytes: Uint8Array): unknown {
  try {
    return PACKR.unpack(bytes);
  } catch {
    return undefined;
  }
}
