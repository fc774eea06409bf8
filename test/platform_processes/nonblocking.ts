/**
 * Makes writes to an open pipe fail instead of waiting for its reader:
 * `nonblocking.js DESCRIPTOR`. The mode stays with the pipe's open description,
 * which a program that inherits the descriptor shares.
 *
 * @module
 */

import { Socket } from "node:net";
import process from "node:process";

new Socket({ fd: Number(process.argv[2]), readable: false, writable: true });
process.exit(0);
