/**
 * The schema and types of a daemon's settings.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";

const idSchema = z.string().regex(
  IDENTITY_PATTERN,
  "an ID: letters, digits and . _ : - , at most 128 characters",
);

const addressSchema = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/,
  "an IP address and port, such as 127.0.0.1:7001",
).refine(
  (text) => {
    const port = Number(text.slice(text.lastIndexOf(":") + 1));
    return port >= 1 && port <= 65_535;
  },
  "a port from 1 to 65535",
);

/** One instance: this one or a peer. */
export const instanceSchema = z.strictObject({
  id: idSchema,
  dataCentre: idSchema,
  region: idSchema,
  /** The address at which the instance accepts connections of its peers. */
  peerAddress: addressSchema,
  /** Whether it has a data folder, and so votes in the configuration group. */
  hasDisk: z.boolean().default(false),
});

/** The settings of one daemon. */
export const settingsSchema = z.strictObject({
  instance: instanceSchema.extend({
    /** HTTP address for callers, operators, backend servers and workers. */
    httpAddress: addressSchema,
  }),
  /** Every other instance of the system. */
  peers: z.array(instanceSchema).max(64).default([]),
  storage: z.strictObject({
    /** The data folder; required if `instance.hasDisk` is true. */
    folder: z.string().min(1).optional(),
  }).prefault({}),
  cluster: z.strictObject({
    /** The name of the cluster, the same on all its instances. */
    name: idSchema.default("sesamethread"),
    /** A file with the cluster key, the same on all instances. */
    keyFile: z.string().min(1).optional(),
    /** PEM files for TLS between instances; all three or none. */
    tlsCertificateFile: z.string().min(1).optional(),
    tlsKeyFile: z.string().min(1).optional(),
    tlsAuthorityFile: z.string().min(1).optional(),
  }).prefault({}),
  /** A file with the initial document, submitted while there is none. */
  bootstrap: z.strictObject({
    documentFile: z.string().min(1).optional(),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    format: z.enum(["json", "pretty"]).default("json"),
    /** How many events the timeline stores. */
    timelineEvents: z.int().min(100).max(1_000_000).default(20_000),
  }).prefault({}),
  limits: z.strictObject({
    /** How long a graceful stop waits for calls and requests to end. */
    stopMs: z.int().min(100).max(600_000).default(30_000),
    /** Maximum number of HTTP connections served at once. */
    callerConnections: z.int().min(1).max(100_000).default(2_000),
    /** How long the body of an HTTP call may take to arrive. */
    bodyReadMs: z.int().min(100).max(600_000).default(10_000),
  }).prefault({}),
});

/** An instance as the settings describe it. */
export type InstanceSettings = z.infer<typeof instanceSchema>;

/** The settings of one daemon, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
