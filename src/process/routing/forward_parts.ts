/**
 * Splits forwarded messages into parts and reassembles them, within limits of
 * memory and time. A message that has lost a part is never delivered.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { ForwardPart } from "./forward_message.ts";

/** Small enough for other messages to get through between two parts. */
const PART_BYTES = 65_536;

/** The fields that identify a part's message. */
export type PartHead = Pick<
  ForwardPart,
  "flow" | "incarnation" | "forwardId"
>;

/** Splits a packed call or result into parts, in order. */
export function splitIntoParts(
  packed: Uint8Array,
  head: PartHead,
): ForwardPart[] {
  const count = Math.max(1, Math.ceil(packed.length / PART_BYTES));
  return Array.from({ length: count }, (_, index) => ({
    ...head,
    kind: "part" as const,
    index,
    count,
    bytes: packed.slice(index * PART_BYTES, (index + 1) * PART_BYTES),
  }));
}

/** Options of a {@link PartAssembler}: limits on incomplete messages. */
export interface PartAssemblerOptions {
  readonly clock: Clock;
  readonly limitBytes?: number;
  readonly lifetimeMs?: number;
}

const BUFFER_LIMIT_BYTES = 32 * 1_048_576;
const INCOMPLETE_LIFETIME_MS = 30_000;

interface IncompleteMessage {
  readonly parts: (Uint8Array | undefined)[];
  readonly expiresAtMs: number;
  missing: number;
  bytes: number;
}

/** Reassembles messages from their parts. */
export class PartAssembler {
  readonly #options: Required<PartAssemblerOptions>;
  readonly #incomplete = new Map<string, IncompleteMessage>();
  #bytes = 0;

  constructor(options: PartAssemblerOptions) {
    this.#options = {
      limitBytes: BUFFER_LIMIT_BYTES,
      lifetimeMs: INCOMPLETE_LIFETIME_MS,
      ...options,
    };
  }

  get bufferedBytes(): number {
    return this.#bytes;
  }

  /** Adds a part; returns the message once all its parts have arrived. */
  add(from: InstanceId, part: ForwardPart): Uint8Array | undefined {
    this.#expire();
    const { flow, incarnation, forwardId, index, count } = part;
    const key = `${from}/${flow}/${incarnation}/${forwardId}`;
    const message = this.#incomplete.get(key) ?? this.#begin(key, count);
    const isAccepted = index < message.parts.length &&
      message.parts[index] === undefined &&
      this.#bytes + part.bytes.length <= this.#options.limitBytes;
    if (!isAccepted) {
      return undefined;
    }
    message.parts[index] = part.bytes;
    message.missing -= 1;
    message.bytes += part.bytes.length;
    this.#bytes += part.bytes.length;
    if (message.missing > 0) {
      return undefined;
    }
    this.#drop(key, message);
    return Buffer.concat(message.parts.filter((bytes) => bytes !== undefined));
  }

  #begin(key: string, count: number): IncompleteMessage {
    const { clock, lifetimeMs } = this.#options;
    const message: IncompleteMessage = {
      parts: new Array<Uint8Array | undefined>(count).fill(undefined),
      expiresAtMs: clock.nowMs() + lifetimeMs,
      missing: count,
      bytes: 0,
    };
    this.#incomplete.set(key, message);
    return message;
  }

  #expire(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [key, message] of this.#incomplete) {
      if (message.expiresAtMs > nowMs) {
        return;
      }
      this.#drop(key, message);
    }
  }

  #drop(key: string, message: IncompleteMessage): void {
    this.#incomplete.delete(key);
    this.#bytes -= message.bytes;
  }
}
