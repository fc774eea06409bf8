import { Buffer } from "node:buffer";
import { mkdtemp, readdir, rm, symlink, writeFile } from "node:fs/promises";
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
  await storage.replace("log", text("onet"));
  await storage.append("log", text("!"));
  await storage.sync("log");
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

test("a file whose write failed stays closed until it is replaced", async (t) => {
  await withFolder(async (folder) => {
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    await storage.append("other", text("kept"));
    // A device that is always full stands in for a full disk.
    await symlink("/dev/full", join(folder, "log"));
    const failed = await storage.append("log", text("x"));
    t.regex(failed.swap().unsafeCoerce().message, /ENOSPC/);
    await rm(join(folder, "log"));
    for (const later of ["append", "sync"] as const) {
      const result = await storage[later]("log", text("y"));
      t.is(result.swap().unsafeCoerce().kind, "storageFailed", later);
    }
    t.true((await storage.sync("other")).isRight());
    t.true((await storage.replace("log", text("whole "))).isRight());
    t.true((await storage.append("log", text("again"))).isRight());
    t.true((await storage.sync("log")).isRight());
    t.is(await readText(storage, "log"), "whole again");
    await storage.close();
    const closed = await storage.append("log", text("x"));
    t.is(closed.swap().unsafeCoerce().kind, "storageFailed");
  });
});

test("a failed replacement keeps the old file and frees its space", async (t) => {
  await withFolder(async (folder) => {
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    await storage.replace("state", text("old"));
    await symlink("/dev/full", join(folder, "state.new"));
    const failed = await storage.replace("state", text("new"));
    t.regex(failed.swap().unsafeCoerce().message, /ENOSPC/);
    t.is(await readText(storage, "state"), "old");
    t.deepEqual(await readdir(folder), ["state"]);
    t.true((await storage.replace("state", text("new"))).isRight());
    t.is(await readText(storage, "state"), "new");
    t.true((await storage.freeBytes()).unsafeCoerce() > 0);
    await storage.close();
  });
});

test("a name with a path is refused", async (t) => {
  await withFolder(async (folder) => {
    const storage = (await FileStorage.open({ folder })).unsafeCoerce();
    const escape = await storage.append("../outside", text("x"));
    t.is(escape.swap().unsafeCoerce().kind, "storageFailed");
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
