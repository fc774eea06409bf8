/**
 * The announcement that a backend server sends about once a second.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { isSocketAddress } from "../../../base/socket_address.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

/** The IP address and port on which a server listens. */
const serverAddress = z.string().refine(
  isSocketAddress,
  "Expected an IP address and port, such as 127.0.0.1:9001.",
);

/** The body of `POST /v1/backends/:id/announce`. */
export const announcementBodySchema = z.strictObject({
  service: identity,
  address: serverAddress,
  /** Maximum number of requests that it takes at once. */
  slots: z.int().min(1).max(1_000),
  dataCentre: identity,
  /** Greater after every restart of the server; its start time will do. */
  incarnation: z.int().min(0),
  /** Whether it takes no new requests; holds for the whole incarnation. */
  leaving: z.boolean().default(false),
});

/** An announcement with the server's ID. */
export const serverAnnouncementSchema = announcementBodySchema.extend({
  serverId: identity,
});

/** One announcement of one backend server. */
export type ServerAnnouncement = z.infer<typeof serverAnnouncementSchema>;
