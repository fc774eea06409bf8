/**
 * A thread that measures an idle daemon under the thread's resource limits.
 *
 * @module
 */

import { parentPort } from "node:worker_threads";
import { measureIdleDaemon } from "./idle_daemon.ts";

parentPort?.postMessage(await measureIdleDaemon());
