import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { jobSpecificationSchema } from "../src/process/scheduler/core/job.ts";
import { loadSettings, type Settings } from "../src/process/settings/mod.ts";
import { type Document, parseDocument } from "../src/version/mod.ts";
import { matchesTeamKey } from "../src/version/document/team_key.ts";

const ROOT = "examples";

function documentOf(name: string): Document {
  const text = readFileSync(`${ROOT}/${name}/document.toml`, "utf8");
  return parseDocument(text).mapLeft((error) => {
    throw error;
  }).unsafeCoerce();
}

function settingsOf(name: string): Settings[] {
  const folder = `${ROOT}/${name}/settings`;
  return readdirSync(folder).sort().map((file) =>
    loadSettings(`${folder}/${file}`).mapLeft((error) => {
      throw error;
    }).unsafeCoerce()
  );
}

/** What every instance must say of itself and of each other the same way. */
function identityOf(instance: Settings["peers"][number]): string {
  const { id, dataCentre, region, peerAddress, hasDisk } = instance;
  return JSON.stringify({ id, dataCentre, region, peerAddress, hasDisk });
}

for (const name of ["demo", "lakeshore", "murshidabad"]) {
  test(`${name}: settings and document are sound and agree`, (t) => {
    const document = documentOf(name);
    const all = settingsOf(name);
    const identities = all.map(({ instance }) => identityOf(instance)).sort();
    for (const settings of all) {
      const { instance, peers } = settings;
      const known = [instance, ...peers].map(identityOf).sort();
      t.deepEqual(known, identities, instance.id);
      const dataCentre = document.dataCentres[instance.dataCentre];
      t.is(dataCentre?.region, instance.region);
    }
    const addresses = all.flatMap(({ instance }) => [
      instance.httpAddress,
      instance.peerAddress,
    ]);
    t.is(new Set(addresses).size, addresses.length);
  });
}

for (const name of ["lakeshore", "murshidabad"]) {
  test(`${name}: any one data centre may be lost`, (t) => {
    const voters = settingsOf(name).map(({ instance }) => instance)
      .filter((instance) => instance.hasDisk);
    for (const dataCentre of Object.keys(documentOf(name).dataCentres)) {
      const left = voters.filter((voter) => voter.dataCentre !== dataCentre);
      t.true(left.length > voters.length / 2, dataCentre);
    }
  });

  test(`${name}: the document has the sizes of the deployment`, (t) => {
    const document = documentOf(name);
    t.is(settingsOf(name).length, 9);
    t.is(Object.keys(document.clientAccounts).length, 4);
    for (const dataCentre of Object.values(document.dataCentres)) {
      for (const rack of dataCentre.racks) {
        t.like(rack, { workers: 8, acceleratorsPerWorker: 8 });
      }
    }
    for (const service of Object.values(document.services)) {
      t.like(service, { slotsPerServer: 8, connectionsPerServer: 60 });
    }
  });
}

test("the demo's keys open the demo's document", async (t) => {
  const { teams } = documentOf("demo");
  for (const [name, team] of Object.entries(teams)) {
    const hash = team.keyHashes[0] ?? "";
    t.true(await matchesTeamKey(`demo-${name}-key`, hash), name);
  }
});

test("the demo's jobs are sound and name what the document has", (t) => {
  const document = documentOf("demo");
  const folder = `${ROOT}/demo/jobs`;
  for (const file of readdirSync(folder)) {
    const raw = parse(readFileSync(`${folder}/${file}`, "utf8"));
    const job = jobSpecificationSchema.parse(raw);
    t.true(Object.hasOwn(document.clientAccounts, job.clientAccount), file);
    t.true(Object.hasOwn(document.jobClasses, job.jobClass), file);
  }
});
