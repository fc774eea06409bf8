import { Buffer } from "node:buffer";
import test from "ava";
import { FakeClock } from "../../base/mod.ts";
import { EventLineLog } from "./event_line_log.ts";
import { LineWriter } from "./line_writer.ts";

test("lines are dropped while the reader stalls", (t) => {
  const chunks: Uint8Array[] = [];
  let release = () => {};
  const writer = new LineWriter({
    limitBytes: 1_000,
    write: (chunk, done) => {
      chunks.push(chunk);
      release = () => done(null, chunk.length);
    },
  });
  for (let line = 0; line < 10_000; line++) {
    writer.push("a line of some length");
  }
  t.is(chunks.length, 1);
  t.true(writer.dropped > 9_900);
  release();
  t.is(chunks.length, 2);
  release();
  t.true(writer.push("accepted again"));
});

test("a partial write is continued where it stopped", (t) => {
  let text = "";
  const writer = new LineWriter({
    write: (chunk, done) => {
      const part = chunk.subarray(0, 3);
      text += new TextDecoder().decode(part);
      done(null, part.length);
    },
  });
  writer.push("hello");
  t.is(text, "hello\n");
});

test("a burst is written in chunks that a pipe takes as a whole", (t) => {
  const chunks: Uint8Array[] = [];
  const pending: (() => void)[] = [];
  const writer = new LineWriter({
    write: (chunk, done) => {
      chunks.push(chunk);
      pending.push(() => done(null, chunk.length));
    },
  });
  const lines = Array.from({ length: 300 }, (_, n) => `${n} ${"ü".repeat(50)}`);
  lines.push("z".repeat(5_000), "last");
  lines.forEach((line) => writer.push(line));
  while (pending.length > 0) {
    pending.shift()!();
  }
  const long = chunks.filter((chunk) => chunk.length > 4_096);
  t.is(long.length, 1);
  t.true(long[0]!.every((byte, at) => byte === (at < 5_000 ? 0x7a : 0x0a)));
  const texts = chunks.map((chunk) => new TextDecoder().decode(chunk));
  t.true(texts.every((text) => text.endsWith("\n")));
  t.is(texts.join(""), lines.join("\n") + "\n");
});

test("lines that a failed write loses count as dropped", (t) => {
  const chunks: Uint8Array[] = [];
  let fail = () => {};
  const writer = new LineWriter({
    write: (chunk, done) => {
      chunks.push(chunk);
      fail = () => done(new Error("broken pipe"), 0);
    },
  });
  writer.push("one");
  writer.push("two");
  writer.push("three");
  fail();
  t.is(writer.dropped, 1);
  fail();
  t.is(writer.dropped, 3);
  t.is(chunks.length, 2);
});

test("lines are kept while a pipe that doesn't block is full", async (t) => {
  const full = Object.assign(new Error("pipe is full"), { code: "EAGAIN" });
  const chunks: Uint8Array[] = [];
  let attempts = 0;
  const writer = new LineWriter({
    write: (chunk, done) => {
      attempts += 1;
      if (attempts <= 3) {
        done(full, 0);
      } else {
        chunks.push(chunk);
        done(null, chunk.length);
      }
    },
  });
  writer.push("one");
  writer.push("two");
  for (let wait = 0; wait < 100 && chunks.length < 2; wait++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.is(new TextDecoder().decode(Buffer.concat(chunks)), "one\ntwo\n");
  t.is(writer.dropped, 0);
});

test("each event has a line budget, and suppressed lines are reported", (t) => {
  const lines: Record<string, unknown>[] = [];
  const clock = new FakeClock();
  const log = new EventLineLog({
    instanceId: "i",
    clock,
    linesPerPeriod: 5,
    writer: new LineWriter({
      write: (chunk, done) => {
        const text = new TextDecoder().decode(chunk);
        text.trim().split("\n").forEach((line) => lines.push(JSON.parse(line)));
        done(null, chunk.length);
      },
    }),
  });
  for (let call = 0; call < 100; call++) {
    log.emit("batchJobRefused", { jobId: `j${call}` });
  }
  log.emit("batchJobAccepted", { jobId: "other" });
  t.is(lines.length, 6);
  clock.advance(1_000);
  const summary = lines.at(-1);
  t.is(summary?.event, "logLinesSuppressed");
  t.is(summary?.lines, 95);
  t.is(summary?.suppressed, "batchJobRefused");
});

test("untrusted text can't break out of a line", (t) => {
  const chunks: string[] = [];
  const log = new EventLineLog({
    instanceId: "instance-1",
    clock: new FakeClock(),
    writer: new LineWriter({
      write: (chunk, done) => {
        chunks.push(new TextDecoder().decode(chunk));
        done(null, chunk.length);
      },
    }),
  });
  log.emit("batchJobRefused", { jobId: 'a"\n\u001b[31m', reason: "queueFull" });
  t.is(chunks.join("").split("\n").length, 2);
  t.false(chunks.join("").includes("\u001b"));
  const line = JSON.parse(chunks.join("")) as Record<string, unknown>;
  t.is(line.number, 7_011);
  t.is(line.instance, "instance-1");
  t.is(line.reason, "queueFull");
});
