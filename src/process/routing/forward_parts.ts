/**
 * Cuts what is forwarded into parts and puts parts together again, within
 * bounds of memory and time. Nothing comes of a call of which a part is lost.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { ForwardPart } from "./forward_message.ts";

/** Small enough that other messages get through between two parts. */
const PART_BYTES = 65_536;

/** What parts say of the whole that they belong to. */
export type PartHead = Pick<
  ForwardPart,
  "flow" | "incarnation" | "forwardId"
>;

/** The parts of a packed call or end, in order. */
export function cutIntoParts(
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

/** Bounds of what may lie incomplete. */
export interface PartAssemblerOptions {
  readonly clock: Clock;
  readonly limitBytes?: number;
  readonly lifetimeMs?: number;
}

const LIMIT_BYTES = 32 * 1_048_576;
const LIFETIME_MS = 30_000;

interface Incomplete {
  readonly parts: (Uint8Array | undefined)[];
  readonly expiresAtMs: number;
  missing: number;
  bytes: number;
}

/** Wholes of which parts are missing. */
export class PartAssembler {
  readonly #options: Required<PartAssemblerOptions>;
  readonly #incomplete = new Map<string, Incomplete>();
  #bytes = 0;

  constructor(options: PartAssemblerOptions) {
    this.#options = {
      limitBytes: LIMIT_BYTES,
      lifetimeMs: LIFETIME_MS,
      ...options,
    };
  }

  get heldBytes(): number {
    return this.#bytes;
  }

  /** The whole, when this was its last part. */
  add(from: InstanceId, part: ForwardPart): Uint8Array | undefined {
    this.#expire();
    const { flow, incarnation, forwardId, index, count } = part;
    const key = `${from}/${flow}/${incarnation}/${forwardId}`;
    const whole = this.#incomplete.get(key) ?? this.#begin(key, count);
    const isUseful = index < whole.parts.length &&
      whole.parts[index] === undefined &&
      this.#bytes + part.bytes.length <= this.#options.limitBytes;
    if (!isUseful) {
      return undefined;
    }
    whole.parts[index] = part.bytes;
    whole.missing -= 1;
    whole.bytes += part.bytes.length;
    this.#bytes += part.bytes.length;
    if (whole.missing > 0) {
      return undefined;
    }
    this.#drop(key, whole);
    return Buffer.concat(whole.parts.filter((bytes) => bytes !== undefined));
  }

  #begin(key: string, count: number): Incomplete {
    const { clock, lifetimeMs } = this.#options;
    const whole: Incomplete = {
      parts: new Array<Uint8Array | undefined>(count).fill(undefined),
      expiresAtMs: clock.nowMs() + lifetimeMs,
      missing: count,
      bytes: 0,
    };
    this.#incomplete.set(key, whole);
    return whole;
  }

  #expire(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [key, whole] of this.#incomplete) {
      if (whole.expiresAtMs > nowMs) {
        return;
      }
      this.#drop(key, whole);
    }
  }

  #drop(key: string, whole: Incomplete): void {
    this.#incomplete.delete(key);
    this.#bytes -= whole.bytes;
  }
}
