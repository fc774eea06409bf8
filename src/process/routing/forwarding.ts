/**
 * Has requests answered in another data centre when that saves their
 * deadline, and answers those of others.
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
import { ForwardMemory } from "./forward_memory.ts";
import {
  decodeForwardMessage,
  type ForwardedCall,
  forwardedCallSchema,
  type ForwardedEnd,
  forwardedEndSchema,
  type ForwardMessage,
  type ForwardPart,
} from "./forward_message.ts";
import { cutIntoParts, PartAssembler } from "./forward_parts.ts";
import { RemotePeers } from "./remote_peers.ts";
import type { RoutedEnd } from "./routed_call.ts";
import type { Router } from "./router.ts";
import type { RoutingInstance } from "./routing_instance.ts";

/** What forwarding is built from. */
export interface ForwardingOptions {
  readonly self: RoutingInstance;
  readonly peers: readonly RoutingInstance[];
  readonly incarnation: number;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly router: Router;
}

/** How often the free slots are looked at for other data centres. */
const LOAD_PERIOD_MS = 300;

/** How often they are reported though they have hardly changed. */
const LOAD_REFRESH_MS = 1_000;

/** A change by less than this fraction of the slots is no news. */
const LOAD_CHANGE_FRACTION = 0.1;

/** How long past its deadline the end of a call is waited for. */
const GRACE_MS = 6_000;

const PACKR = new Packr({ useRecords: false });

const UNKNOWN_END: BackendAttemptEnd = {
  result: AttemptResult.ambiguous,
  answer: undefined,
  fault: undefined,
};

/** The forwarding of one instance. */
export class Forwarding {
  readonly #options: ForwardingOptions;
  readonly #channel: PeerChannel<ForwardMessage>;
  readonly #assembler: PartAssembler;
  readonly #memory = new ForwardMemory();
  readonly #remotes: RemotePeers;
  readonly #timer: Timer;
  readonly #waiting = new Map<number, (end: BackendAttemptEnd) => void>();
  #lastForwardId = 0;
  #lastReport: LoadReport = { atMs: -Infinity, freeSlots: {} };

  constructor(options: ForwardingOptions) {
    this.#options = options;
    this.#remotes = new RemotePeers(options);
    this.#assembler = new PartAssembler({ clock: options.clock });
    this.#channel = options.network.channel({
      name: "forwarding",
      decode: decodeForwardMessage,
    });
    this.#channel.received.observe((received) => this.#receive(received));
    this.#timer = options.clock.every(LOAD_PERIOD_MS, () => this.#report());
    options.router.setForwarder((decision, record) =>
      this.forward(record, decision.dataCentre)
    );
  }

  /** Has the request answered there; `notSent` when that can't have been. */
  forward(
    record: RequestRecord,
    dataCentre: DataCentreId,
  ): Promise<BackendAttemptEnd> {
    const peer = this.#remotes.choose(dataCentre, record.service);
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
      const leftMs = record.deadlineMs + GRACE_MS - clock.nowMs();
      const timer = clock.after(leftMs, () => settle(UNKNOWN_END));
      const settle = (end: BackendAttemptEnd): void => {
        timer.close();
        this.#waiting.delete(forwardId);
        resolve(end);
      };
      this.#waiting.set(forwardId, settle);
    });
  }

  close(): void {
    this.#timer.close();
    this.#channel.close();
    [...this.#waiting.values()].forEach((settle) => settle(UNKNOWN_END));
  }

  #packCall(record: RequestRecord): Uint8Array {
    const { receivedAtMs: _, deadlineMs, ...rest } = record;
    const timeoutMs = deadlineMs - this.#options.clock.nowMs();
    return PACKR.pack({ formatVersion: 1, timeoutMs, record: rest });
  }

  /** False when a part was dropped at once: then nothing can come of it. */
  #sendParts(
    to: InstanceId,
    packed: Uint8Array,
    head: { flow: "call" | "end"; forwardId: number; incarnation?: number },
  ): boolean {
    const { incarnation } = this.#options;
    return cutIntoParts(packed, { incarnation, ...head })
      .every((part) => this.#channel.send(to, part));
  }

  #receive({ from, message }: Received<ForwardMessage>): void {
    switch (message.kind) {
      case "load": {
        const { sentAtMs, freeSlots } = message;
        this.#channel.send(from, { kind: "loadEcho", sentAtMs });
        this.#remotes.hear(from, freeSlots);
        break;
      }
      case "loadEcho":
        this.#remotes.measure(from, message.sentAtMs);
        break;
      case "part":
        this.#receivePart(from, message);
        break;
    }
  }

  #receivePart(from: InstanceId, part: ForwardPart): void {
    const whole = this.#assembler.add(from, part);
    if (whole === undefined) {
      return;
    }
    if (part.flow === "end") {
      this.#receiveEnd(part, unpack(whole));
      return;
    }
    const call = forwardedCallSchema.safeParse(unpack(whole));
    if (call.success && this.#memory.take(from, part)) {
      void this.#answer(from, part, call.data);
    }
  }

  #receiveEnd(part: ForwardPart, body: unknown): void {
    const end = forwardedEndSchema.safeParse(body);
    const settle = this.#waiting.get(part.forwardId);
    const isOurs = part.incarnation === this.#options.incarnation;
    if (!end.success || settle === undefined || !isOurs) {
      return;
    }
    const { result, answer } = end.data;
    settle({
      result,
      fault: undefined,
      answer: answer === undefined ? undefined : {
        requestId: "",
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
    const end = await router.route(record, { isForwarded: true });
    const packed = PACKR.pack(await describeEnd(end));
    const { forwardId, incarnation } = part;
    this.#sendParts(from, packed, { flow: "end", forwardId, incarnation });
  }

  #report(): void {
    const { clock, network, router } = this.#options;
    const nowMs = clock.nowMs();
    const freeSlots: Record<ServiceId, number> = {};
    for (const [service, { servers, queued }] of router.core.services) {
      const free = servers.freeSlots(nowMs) - queued;
      freeSlots[service] = Math.max(0, free);
    }
    const isDue = nowMs >= this.#lastReport.atMs + LOAD_REFRESH_MS;
    if (!isDue && !isNews(freeSlots, this.#lastReport.freeSlots)) {
      return;
    }
    this.#lastReport = { atMs: nowMs, freeSlots };
    for (const peer of network.linkedPeerIds()) {
      if (this.#remotes.isRemote(peer)) {
        this.#channel.send(peer, { kind: "load", sentAtMs: nowMs, freeSlots });
      }
    }
  }
}

/** What other data centres were last told. */
interface LoadReport {
  readonly atMs: number;
  readonly freeSlots: Readonly<Record<ServiceId, number>>;
}

function isNews(
  freeSlots: LoadReport["freeSlots"],
  before: LoadReport["freeSlots"],
): boolean {
  return Object.entries(freeSlots).some(([service, free]) => {
    const told = before[service];
    const margin = Math.max(1, LOAD_CHANGE_FRACTION * (told ?? 0));
    return told === undefined || Math.abs(free - told) >= margin;
  });
}

/** Waits for what becomes known late, when the end itself is unknown. */
async function describeEnd(end: RoutedEnd): Promise<ForwardedEnd> {
  const routed = end.result.caseOf({
    Left: () => undefined,
    Right: (answer) => answer,
  });
  const isNotRun = end.result.caseOf({
    Left: (error) => error.answer.execution !== Execution.unknown,
    Right: () => false,
  });
  if (isNotRun) {
    return { formatVersion: 1, result: AttemptResult.notSent };
  }
  const knowledge = routed === undefined
    ? await end.knowledge
    : { kind: "answered" as const, routed };
  switch (knowledge.kind) {
    case "notRun":
      return { formatVersion: 1, result: AttemptResult.notSent };
    case "unknown":
      return { formatVersion: 1, result: AttemptResult.ambiguous };
    case "answered": {
      const { httpStatus, contentType, body } = knowledge.routed.answer;
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
