/**
 * What a backend server says of itself, about once a second.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

/** Where a server listens: an IP number and a port. */
const serverAddress = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/,
  "an IP number and port, such as 127.0.0.1:9001",
);

/** The body of `POST /v1/backends/:id/announce`. */
export const announcementBodySchema = z.strictObject({
  service: identity,
  address: serverAddress,
  /** Most requests that it takes at once. */
  slots: z.int().min(1).max(1_000),
  dataCentre: identity,
  /** Grows with every start of the server; its start time will do. */
  incarnation: z.int().min(0),
  /** Whether it wants nothing new; holds for the rest of its incarnation. */
  leaving: z.boolean().default(false),
});

/** An announcement with the server's name. */
export const serverAnnouncementSchema = announcementBodySchema.extend({
  serverId: identity,
});

/** One announcement of one backend server. */
export type ServerAnnouncement = z.infer<typeof serverAnnouncementSchema>;
