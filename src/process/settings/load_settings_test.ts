import test from "ava";
import type { Result } from "../../base/mod.ts";
import { parseSettings } from "./load_settings.ts";
import type { Settings } from "./settings.ts";

const VALID = `
[instance]
id = "a"
dataCentre = "east"
region = "one"
httpAddress = "127.0.0.1:7101"
peerAddress = "127.0.0.1:7201"
`;

function detailOf(result: Result<Settings>): string {
  return result.caseOf({
    Left: (error) => error.message,
    Right: () => "accepted",
  });
}

function check(text: string): string {
  return detailOf(parseSettings(text, { path: "a.toml" }));
}

test("omitted settings get their default values", (t) => {
  const settings = parseSettings(VALID, { path: "a.toml" }).unsafeCoerce();
  t.is(settings.cluster.name, "sesamethread");
  t.is(settings.limits.stopMs, 30_000);
});

test("errors name the file, the key and what is expected", (t) => {
  const cases: [string, RegExp][] = [
    [VALID + 'colour = "red"\n', /a\.toml: instance: unknown key colour/],
    [VALID + "[limits]\nstopMs = 5\n", /a\.toml: limits\.stopMs: .*>=100/],
    [VALID + '[limits]\nstopMs = "5 s"\n', /limits\.stopMs: .*number/],
    [VALID + "[limits]\nstopSeconds = 5\n", /limits: unknown key stopSec/],
    [
      VALID.replace("127.0.0.1:7201", "localhost"),
      /instance\.peerAddress: an IP address and port/,
    ],
    [
      VALID.replace("127.0.0.1:7201", "127.0.0.1:99999"),
      /instance\.peerAddress: a port from 1 to 65535/,
    ],
    [
      VALID.replace("127.0.0.1:7201", "127.0.0.1:7101"),
      /peerAddress: listen address 127\.0\.0\.1:7101 is also instance\.http/,
    ],
    [VALID + "hasDisk = true\n", /storage\.folder: expected a folder/],
    [
      VALID + '[cluster]\ntlsKeyFile = "k.pem"\n',
      /cluster: expected all three tls files or none/,
    ],
    ["[instance", /a\.toml: not TOML/],
  ];
  for (const [text, expected] of cases) {
    t.regex(check(text), expected);
  }
});
