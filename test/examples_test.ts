import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { jobSpecificationSchema } from "../src/process/scheduler/core/job.ts";
import { loadSettings, type Settings } from "../src/process/settings/mod.ts";
import { type Document, parseDocument } from "../src/version/mod.ts";
import { matchesTeamKey } from "../src/version/document/team_key.ts";

const ROOT = "examples";

function readDocument(name: string): Document {
  const text = readFileSync(`${ROOT}/${name}/document.toml`, "utf8");
  return parseDocument(text).mapLeft((error) => {
    throw error;
  }).unsafeCoerce();
}

function readSettings(name: string): Settings[] {
  const folder = `${ROOT}/${name}/settings`;
  return readdirSync(folder).sort().map((file) =>
    loadSettings(`${folder}/${file}`).mapLeft((error) => {
      throw error;
    }).unsafeCoerce()
  );
}

/** The fields of an instance that all settings files must state alike. */
function sharedFields(instance: Settings["peers"][number]): string {
  const { id, dataCentre, region, peerAddress, hasDisk } = instance;
  return JSON.stringify({ id, dataCentre, region, peerAddress, hasDisk });
}

for (const name of ["demo", "lakeshore", "murshidabad"]) {
  test(`${name}: settings and document are valid and consistent`, (t) => {
    const document = readDocument(name);
    const all = readSettings(name);
    const expected = all.map(({ instance }) => sharedFields(instance)).sort();
    for (const settings of all) {
      const { instance, peers } = settings;
      const actual = [instance, ...peers].map(sharedFields).sort();
      t.deepEqual(actual, expected, instance.id);
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
  test(`${name}: the loss of a data centre leaves a majority of voters`, (t) => {
    const voters = readSettings(name).map(({ instance }) => instance)
      .filter((instance) => instance.hasDisk);
    for (const dataCentre of Object.keys(readDocument(name).dataCentres)) {
      const left = voters.filter((voter) => voter.dataCentre !== dataCentre);
      t.true(left.length > voters.length / 2, dataCentre);
    }
  });

  test(`${name}: the document has the size of the deployment`, (t) => {
    const document = readDocument(name);
    t.is(readSettings(name).length, 9);
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

test("the demo's keys match the hashes in its document", async (t) => {
  const { teams } = readDocument("demo");
  for (const [name, team] of Object.entries(teams)) {
    const hash = team.keyHashes[0] ?? "";
    t.true(await matchesTeamKey(`demo-${name}-key`, hash), name);
  }
});

test("the demo's jobs are valid and consistent with its document", (t) => {
  const document = readDocument("demo");
  const folder = `${ROOT}/demo/jobs`;
  for (const file of readdirSync(folder)) {
    const raw = parse(readFileSync(`${folder}/${file}`, "utf8"));
    const job = jobSpecificationSchema.parse(raw);
    t.true(Object.hasOwn(document.clientAccounts, job.clientAccount), file);
    t.true(Object.hasOwn(document.jobClasses, job.jobClass), file);
  }
});
