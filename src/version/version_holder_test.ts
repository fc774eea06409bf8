import test from "ava";
import fc from "fast-check";
import type { ConfigurationVersion } from "./configuration_version.ts";
import { EMPTY_DOCUMENT } from "./document/document_change.ts";
import { VersionHolder, type VersionLease } from "./version_holder.ts";

function versionOf(version: number): ConfigurationVersion {
  return { version, document: EMPTY_DOCUMENT, acceptedAtMs: 0 };
}

/** Resources that count how often they were closed. */
class Resources {
  closeCount = 0;
  close(): void {
    this.closeCount++;
  }
}

test("the resources of an old version close after its last use", (t) => {
  const opened = new Map<number, Resources>();
  const holder = new VersionHolder({
    initial: versionOf(1),
    open: (version) => {
      const resources = new Resources();
      opened.set(version.version, resources);
      return resources;
    },
  });
  const first = holder.acquire();
  const second = holder.acquire();
  holder.swap(versionOf(2));
  t.is(first.version.version, 1);
  t.is(holder.acquire().version.version, 2);
  t.deepEqual(holder.openVersions(), [1, 2]);
  first.close();
  first.close();
  t.is(opened.get(1)?.closeCount, 0);
  second.close();
  t.is(opened.get(1)?.closeCount, 1);
  holder.swap(versionOf(1));
  t.is(holder.current.version, 2);
});

test("a lease is closed when its work fails", async (t) => {
  const resources = new Resources();
  const holder = new VersionHolder({
    initial: versionOf(1),
    open: () => resources,
  });
  const work = holder.use(() => Promise.reject(new Error("failed")));
  holder.close();
  t.is(resources.closeCount, 0);
  await t.throwsAsync(work);
  t.is(resources.closeCount, 1);
});

test("no version closes while in use, and none stays open afterwards", (t) => {
  const property = fc.property(
    fc.array(fc.constantFrom("acquire", "release", "swap"), {
      maxLength: 60,
    }),
    fc.infiniteStream(fc.nat()),
    (actions, picks) => {
      const opened: Resources[] = [];
      const open = () => {
        const resources = new Resources();
        opened.push(resources);
        return resources;
      };
      const holder = new VersionHolder({ initial: versionOf(1), open });
      const leases: VersionLease<Resources>[] = [];
      let version = 1;
      for (const action of actions) {
        if (action === "acquire") {
          leases.push(holder.acquire());
        } else if (action === "swap") {
          holder.swap(versionOf(++version));
        } else if (leases.length > 0) {
          const at = Number(picks.next().value) % leases.length;
          leases.splice(at, 1)[0]?.close();
        }
        if (leases.some((lease) => lease.resources.closeCount > 0)) {
          return false;
        }
      }
      leases.forEach((lease) => lease.close());
      holder.close();
      return opened.every((resources) => resources.closeCount === 1);
    },
  );
  fc.assert(property, { seed: 8, numRuns: 500 });
  t.pass();
});
