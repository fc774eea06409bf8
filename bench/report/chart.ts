/**
 * Draws charts with Vega, without a browser.
 *
 * @module
 */

import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";

/** One value of one series. */
export interface ChartRow {
  readonly series: string;
  readonly x: number | string;
  readonly y: number;
}

/** What a chart shows. */
export interface ChartOptions {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly rows: readonly ChartRow[];
  readonly kind: "line" | "bar";
  /** A horizontal line to draw at `y`; absent for none. */
  readonly limit?: { readonly y: number; readonly name: string };
}

const WIDTH = 520;
const HEIGHT = 280;

/** Draws the chart as SVG. */
export async function drawChart(options: ChartOptions): Promise<string> {
  const { spec } = compile(specOf(options));
  const view = new View(parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg + "\n";
}

function specOf(options: ChartOptions): TopLevelSpec {
  return {
    $schema: "https://vega.github.io/schema/vega-lite/v5.json",
    title: options.title,
    width: WIDTH,
    height: HEIGHT,
    background: "white",
    layer: [
      options.kind === "line" ? lineLayer(options) : barLayer(options),
      ...limitLayers(options),
    ],
  } as TopLevelSpec;
}

function lineLayer({ rows, xTitle, yTitle }: ChartOptions) {
  return {
    data: { values: [...rows] },
    mark: { type: "line", point: true },
    encoding: {
      x: { field: "x", type: "quantitative", title: xTitle },
      y: { field: "y", type: "quantitative", title: yTitle },
      color: { field: "series", type: "nominal", title: null, sort: null },
    },
  };
}

function barLayer({ rows, xTitle, yTitle }: ChartOptions) {
  return {
    data: { values: [...rows] },
    mark: { type: "bar" },
    encoding: {
      x: { field: "x", type: "nominal", title: xTitle },
      xOffset: { field: "series" },
      y: { field: "y", type: "quantitative", title: yTitle },
      color: { field: "series", type: "nominal", title: null, sort: null },
    },
  };
}

function limitLayers({ limit }: ChartOptions) {
  if (limit === undefined) {
    return [];
  }
  const data = { values: [{ y: limit.y, name: limit.name }] };
  const y = { field: "y", type: "quantitative" };
  return [
    { data, mark: { type: "rule", strokeDash: [6, 4] }, encoding: { y } },
    {
      data,
      mark: { type: "text", align: "left", dy: -6, x: 6 },
      encoding: { y, text: { field: "name" } },
    },
  ];
}
