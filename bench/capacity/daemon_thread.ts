/**
 * A thread that measures an idle daemon under the limits it was started with.
 *
 * @module
 */

import { parentPort } from "node:worker_threads";
import { measureIdleDaemon } from "./idle_daemon.ts";

parentPort?.postMessage(await measureIdleDaemon());
