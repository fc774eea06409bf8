/**
 * Relays the announcements of backend servers to the other instances of the
 * server's data centre.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type {
  PeerChannel,
  PeerNetwork,
} from "../../connection/peer_network.ts";
import {
  type ServerAnnouncement,
  serverAnnouncementSchema,
} from "./core/mod.ts";

/** Options of an {@link AnnouncementRelay}. */
export interface AnnouncementRelayOptions {
  readonly network: PeerNetwork;
  readonly peerDataCentres: ReadonlyMap<InstanceId, DataCentreId>;
  readonly onAnnounced: (announcement: ServerAnnouncement) => void;
}

/** Relays announcements; one that was relayed here isn't relayed again. */
export class AnnouncementRelay {
  readonly #options: AnnouncementRelayOptions;
  readonly #channel: PeerChannel<ServerAnnouncement>;

  constructor(options: AnnouncementRelayOptions) {
    this.#options = options;
    this.#channel = options.network.channel({
      name: "backend_servers",
      decode: decodeAnnouncement,
    });
    this.#channel.received.observe(({ message }) =>
      options.onAnnounced(message)
    );
  }

  /** Sends to every linked instance of the server's data centre. */
  relay(announcement: ServerAnnouncement): void {
    const { network, peerDataCentres } = this.#options;
    for (const peer of network.linkedPeerIds()) {
      if (peerDataCentres.get(peer) === announcement.dataCentre) {
        this.#channel.send(peer, announcement);
      }
    }
  }

  close(): void {
    this.#channel.close();
  }
}

function decodeAnnouncement(body: unknown): Result<ServerAnnouncement> {
  const parsed = serverAnnouncementSchema.safeParse(body);
  return parsed.success ? Right(parsed.data) : failure("malformed", {
    detail: "An announcement has a wrong shape.",
  });
}
