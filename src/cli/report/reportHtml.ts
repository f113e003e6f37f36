/**
 * The burn report as one HTML page without scripts or external files.
 */
import type { BurnLine } from '../../core/operators/burn.js';
import { budgetPlot, burnPlot, causeColours, causePlot, windowColours } from './plots.js';
import { formatBurn, formatShare, formatWindow, countCalls } from './reportText.js';
import type { ReportData } from './reportData.js';
import { element, type Markup } from './svg.js';

const style = `
  body { font: 15px/1.5 system-ui, sans-serif; color: #182026; max-width: 1000px; margin: 2rem auto; padding: 0 1rem; }
  svg { max-width: 100%; height: auto; }
  svg text { font: 12px system-ui, sans-serif; fill: #182026; }
  table { border-collapse: collapse; width: 100%; }
  th, td { padding: .3rem .6rem; text-align: right; border-bottom: 1px solid #d3d8de; }
  th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
  .key { display: inline-block; width: .8em; height: .8em; margin: 0 .4em 0 1em; }
  .missing { color: #c23030; }
`;

const legend = (items: Readonly<Record<string, string>>): Markup =>
  element(
    'p',
    {},
    ...Object.entries(items).flatMap(([name, colour]) => [
      element('span', { class: 'key', style: `background: ${colour}` }),
      name,
    ]),
  );

const row = (kind: 'th' | 'td', cells: readonly string[]): Markup =>
  element('tr', {}, ...cells.map((cell) => element(kind, {}, cell)));

const cellsOf = (line: BurnLine): string[] => [
  line.className,
  line.dataCentre,
  String(countCalls(line.long)),
  formatShare(1 - line.allowedShare),
  formatBurn(line.shortBurn),
  formatBurn(line.longBurn),
  formatShare(line.budgetLeft),
  line.mainCause ?? '',
];

const table = (lines: readonly BurnLine[], short: string, long: string): Markup =>
  element(
    'table',
    {},
    row('th', [
      'Class',
      'Data centre',
      'Calls',
      'Target',
      `Burn ${short}`,
      `Burn ${long}`,
      'Budget left',
      'Main cause',
    ]),
    ...lines.map((line) => row('td', cellsOf(line))),
  );

const plots = ({ lines, snapshot }: ReportData): Markup[] => {
  const short = formatWindow(snapshot.shortMs);
  const long = formatWindow(snapshot.longMs);
  return [
    element('h2', {}, 'Burn'),
    element(
      'p',
      {},
      'Share of bad calls divided by the share that the target allows. 1 uses the budget exactly.',
    ),
    legend({ [short]: windowColours.short, [long]: windowColours.long }),
    burnPlot(lines, snapshot),
    element('h2', {}, `Error budget left, ${long}`),
    budgetPlot(lines),
    element('h2', {}, `Causes of budget use, ${long}`),
    legend(causeColours),
    causePlot(lines),
    element('h2', {}, 'Figures'),
    table(lines, short, long),
  ];
};

/** Formats the report as an HTML page. */
export const formatReportPage = (report: ReportData): string => {
  const { lines, nodes, missing, version, createdAt } = report;
  const page = element(
    'html',
    { lang: 'en' },
    element(
      'head',
      {},
      { markup: '<meta charset="utf-8">' },
      element('title', {}, 'Service-level burn'),
      { markup: `<style>${style}</style>` },
    ),
    element(
      'body',
      {},
      element('h1', {}, 'Service-level burn'),
      element('p', {}, `Version ${version}, ${nodes} nodes reported, ${createdAt.toISOString()}`),
      ...missing.map(({ address, reason }) =>
        element('p', { class: 'missing' }, `No report from ${address}: ${reason}`),
      ),
      ...(lines.length === 0 ? [element('p', {}, 'No calls were recorded.')] : plots(report)),
    ),
  );
  return `<!doctype html>\n${page.markup}\n`;
};
