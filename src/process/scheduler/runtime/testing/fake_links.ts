/**
 * Links that delay, lose and duplicate messages, for tests.
 *
 * @module
 */

import { Channel } from "../../../../base/channel.ts";
import type { Clock } from "../../../../base/clock.ts";
import type { RandomSource } from "../../../../base/random_source.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "../../../../connection/peer_network.ts";

/** How unreliable the links are. */
export interface LinkConditions {
  readonly lostPerMille: number;
  readonly doubledPerMille: number;
  readonly latePerMille: number;
  /** The longest delay of a late message. */
  readonly lateMs: number;
  /** The longest delay of any other message. */
  readonly delayMs: number;
}

/** Links that lose nothing and deliver within 2 ms. */
export const RELIABLE_LINKS: LinkConditions = {
  lostPerMille: 0,
  doubledPerMille: 0,
  latePerMille: 0,
  lateMs: 0,
  delayMs: 2,
};

/** Links between any two named endpoints; each direction may be cut. */
export class FakeLinks {
  conditions: LinkConditions = RELIABLE_LINKS;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();

  constructor(options: { clock: Clock; random: RandomSource }) {
    this.#clock = options.clock;
    this.#random = options.random;
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.#cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** Delivers never, once or twice, each time after a random delay. */
  send(
    route: { readonly from: string; readonly to: string },
    deliver: () => void,
  ): void {
    const { lostPerMille, doubledPerMille } = this.conditions;
    const isLost = this.#random.nextInt(1_000) < lostPerMille;
    if (isLost || this.isCut(route.from, route.to)) {
      return;
    }
    const copies = this.#random.nextInt(1_000) < doubledPerMille ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      this.#clock.after(this.#delayMs(), deliver);
    }
  }

  #delayMs(): number {
    const { latePerMille, lateMs, delayMs } = this.conditions;
    const isLate = this.#random.nextInt(1_000) < latePerMille;
    return isLate
      ? this.#random.nextInt(lateMs + 1)
      : 1 + this.#random.nextInt(delayMs);
  }
}

/** One instance's peer network over fake links. */
export class FakePeerNetwork implements PeerNetwork {
  readonly selfId: string;
  readonly #links: FakeLinks;
  readonly #peers: Map<string, FakePeerNetwork>;
  readonly #channels = new Map<string, Channel<Received<unknown>>>();

  constructor(options: {
    selfId: string;
    links: FakeLinks;
    peers: Map<string, FakePeerNetwork>;
  }) {
    this.selfId = options.selfId;
    this.#links = options.links;
    this.#peers = options.peers;
    options.peers.set(options.selfId, this);
  }

  get peerIds(): readonly string[] {
    return [...this.#peers.keys()].filter((id) => id !== this.selfId);
  }

  linkedPeerIds(): readonly string[] {
    return this.peerIds.filter((id) => !this.#links.isCut(this.selfId, id));
  }

  channel<Message>(
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message> {
    const channel = new Channel<Received<Message>>();
    const { name, decode } = options;
    this.#channels.set(name, channel as Channel<Received<unknown>>);
    return {
      received: channel.stream,
      send: (to, message) => {
        const body: unknown = JSON.parse(JSON.stringify(message));
        this.#links.send({ from: this.selfId, to }, () => {
          decode(body).ifRight((decoded) =>
            this.#peers.get(to)?.deliver(name, {
              from: this.selfId,
              message: decoded,
            })
          );
        });
        return true;
      },
      close: () => channel.close(),
    };
  }

  deliver(name: string, received: Received<unknown>): void {
    this.#channels.get(name)?.push(received);
  }
}
