import { Buffer } from "node:buffer";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import type { Storage } from "../../base/storage.ts";
import { FakeStorage } from "./fake_storage.ts";
import { FileStorage } from "./file_storage.ts";

const text = (content: string) => Buffer.from(content);

async function readText(storage: Storage, name: string) {
  const bytes = (await storage.read(name)).unsafeCoerce();
  return bytes && Buffer.from(bytes).toString();
}

async function withFolder(
  run: (folder: string) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "storage-"));
  try {
    await run(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function exerciseStorage(storage: Storage): Promise<string[]> {
  await storage.append("log", text("one"));
  await storage.append("log", text("two"));
  await storage.sync("log");
  await storage.replace("state", text("old"));
  await storage.replace("state", text("new"));
  await storage.truncate("log", 4);
  await storage.append("log", text("!"));
  await storage.append("gone", text("x"));
  await storage.remove("gone");
  await storage.remove("never");
  const names = (await storage.list()).unsafeCoerce();
  return [
    ...names,
    String(await readText(storage, "log")),
    String(await readText(storage, "state")),
    String(await readText(storage, "gone")),
  ];
}

test("file storage and fake storage behave alike", async (t) => {
  const expected = ["log", "state", "onet!", "new", "undefined"];
  t.deepEqual(await exerciseStorage(new FakeStorage()), expected);
  await withFolder(async (folder) => {
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    t.deepEqual(await exerciseStorage(storage), expected);
    await storage.close();
  });
});

test("an incomplete replacement left by a crash is removed", async (t) => {
  await withFolder(async (folder) => {
    await writeFile(join(folder, "state"), "old");
    await writeFile(join(folder, "state.new"), "half of the n");
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    t.is(await readText(storage, "state"), "old");
    t.deepEqual((await storage.list()).unsafeCoerce(), ["state"]);
    await storage.close();
  });
});

test("after a failure, every later call fails", async (t) => {
  await withFolder(async (folder) => {
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    const escape = await storage.append("../outside", text("x"));
    t.is(escape.swap().unsafeCoerce().kind, "storageFailed");
    const later = await storage.append("log", text("x"));
    t.is(later.swap().unsafeCoerce().kind, "storageFailed");
    await storage.close();
  });
});

test("opening fails if the folder can't be created", async (t) => {
  await withFolder(async (folder) => {
    const file = join(folder, "file");
    await writeFile(file, "");
    const opened = await FileStorage.open({ folder: join(file, "data") });
    t.is(opened.swap().unsafeCoerce().kind, "storageFailed");
  });
});
