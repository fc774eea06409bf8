/**
 * The settings of one daemon, as types with their validators.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";

const identity = z.string().regex(
  IDENTITY_PATTERN,
  "an identity: letters, digits and ._:- , at most 128",
);

const address = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/,
  "an IP number and port, such as 127.0.0.1:7001",
).refine(
  (text) => {
    const port = Number(text.slice(text.lastIndexOf(":") + 1));
    return port >= 1 && port <= 65_535;
  },
  "a port from 1 to 65535",
);

/** One instance: this one or a peer. */
export const instanceSchema = z.strictObject({
  id: identity,
  dataCentre: identity,
  region: identity,
  /** Where it listens for its peers. */
  peerAddress: address,
  /** Whether it has a data folder, and so votes on the configuration. */
  hasDisk: z.boolean().default(false),
});

/** The settings of one daemon. */
export const settingsSchema = z.strictObject({
  instance: instanceSchema.extend({
    /** Where it listens for callers, operators, servers and workers. */
    httpAddress: address,
  }),
  /** Every other instance of the system. */
  peers: z.array(instanceSchema).max(64).default([]),
  storage: z.strictObject({
    /** The data folder; required when the instance has a disk. */
    folder: z.string().min(1).optional(),
  }).prefault({}),
  cluster: z.strictObject({
    /** The name that all instances of one system share. */
    name: identity.default("sesamethread"),
    /** A file with the key that all instances share. */
    keyFile: z.string().min(1).optional(),
    /** PEM files for TLS between instances. */
    tlsCertificateFile: z.string().min(1).optional(),
    tlsKeyFile: z.string().min(1).optional(),
    tlsAuthorityFile: z.string().min(1).optional(),
  }).prefault({}),
  /** The first document, read when there is none yet. */
  bootstrap: z.strictObject({
    documentFile: z.string().min(1).optional(),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    format: z.enum(["json", "pretty"]).default("json"),
    /** How many events the time line keeps. */
    timelineEvents: z.int().min(100).max(1_000_000).default(20_000),
  }).prefault({}),
  limits: z.strictObject({
    /** How long a graceful stop may take. */
    stopMs: z.int().min(100).max(600_000).default(30_000),
    callerConnections: z.int().min(1).max(100_000).default(2_000),
    bodyReadMs: z.int().min(100).max(600_000).default(10_000),
  }).prefault({}),
});

/** One instance of the system. */
export type InstanceSettings = z.infer<typeof instanceSchema>;

/** The settings of one daemon, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
