/**
 * Plots of the burn report: burn rate over two windows, remaining budget, and bad calls by cause.
 */
import type { BurnLine } from '../../core/operators/burn.js';
import { formatBurn, formatShare, formatWindow, countCalls } from './reportText.js';
import { element, type Markup } from './svg.js';

const width = 960;
const labelWidth = 260;
const valueWidth = 110;
const plotWidth = width - labelWidth - valueWidth;
const rowHeight = 44;
const barHeight = 13;
const axisHeight = 28;
/** A higher burn rate is drawn as a full bar, with its value beside it. */
const maxDrawnBurn = 10;
const minDrawnBurn = 2;

export const causeColours = {
  late: '#d9822b',
  shed: '#7157d9',
  failed: '#c23030',
  waiting: '#2b95d6',
} as const;

type Cause = keyof typeof causeColours;

const causes = Object.keys(causeColours) as Cause[];
export const windowColours = { short: '#1f4b99', long: '#7fa8e8' } as const;
const remainingColour = '#0d8050';
const overdrawnColour = '#c23030';

const text = (x: number, y: number, content: string, anchor = 'start'): Markup =>
  element('text', { x, y, 'text-anchor': anchor }, content);

const bar = (x: number, y: number, barWidth: number, fill: string, title: string): Markup =>
  element(
    'rect',
    { x, y, width: Math.max(0, barWidth), height: barHeight, fill },
    element('title', {}, title),
  );

const labelOf = ({ className, dataCentre }: BurnLine): string => `${className} · ${dataCentre}`;

const verticalLine = (x: number, height: number, stroke: string, dash: string): Markup =>
  element('line', {
    x1: x,
    x2: x,
    y1: axisHeight - 4,
    y2: height,
    stroke,
    'stroke-dasharray': dash,
  });

const plot = (title: string, rows: number, ...children: readonly Markup[]): Markup => {
  const height = axisHeight + rows * rowHeight;
  return element(
    'svg',
    {
      xmlns: 'http://www.w3.org/2000/svg',
      viewBox: `0 0 ${width} ${height}`,
      width,
      height,
      role: 'img',
      'aria-label': title,
    },
    ...children,
  );
};

/** Plots the burn rate over the short and the long window, with a line at 1. */
export const burnPlot = (
  lines: readonly BurnLine[],
  windows: { shortMs: number; longMs: number },
): Markup => {
  const highest = Math.max(...lines.flatMap(({ shortBurn, longBurn }) => [shortBurn, longBurn]), 0);
  const scale = Math.min(maxDrawnBurn, Math.max(minDrawnBurn, Math.ceil(highest)));
  const xOf = (burn: number): number => labelWidth + (Math.min(burn, scale) / scale) * plotWidth;
  const ticks = [...new Set([0, 1, scale / 2, scale])];
  const height = axisHeight + lines.length * rowHeight;
  return plot(
    'Burn of the error budget by class and data centre',
    lines.length,
    ...ticks.map((tick) => text(xOf(tick), 14, String(tick), 'middle')),
    ...ticks.map((tick) => verticalLine(xOf(tick), height, '#d3d8de', 'none')),
    ...lines.flatMap((line, row) => {
      const y = axisHeight + row * rowHeight;
      const bars = [
        { burn: line.shortBurn, colour: windowColours.short, ms: windows.shortMs, offset: 4 },
        { burn: line.longBurn, colour: windowColours.long, ms: windows.longMs, offset: 21 },
      ];
      return [
        text(labelWidth - 10, y + rowHeight / 2 + 2, labelOf(line), 'end'),
        ...bars.flatMap(({ burn, colour, ms, offset }) => [
          bar(
            labelWidth,
            y + offset,
            xOf(burn) - labelWidth,
            colour,
            `${labelOf(line)}: ${formatBurn(burn)} over ${formatWindow(ms)}`,
          ),
          text(xOf(burn) + 6, y + offset + 11, formatBurn(burn)),
        ]),
      ];
    }),
    verticalLine(xOf(1), height, overdrawnColour, '4 3'),
  );
};

const budgetBar = (line: BurnLine, y: number): Markup => {
  const left = Math.max(-1, Math.min(1, line.budgetLeft));
  const title = `${labelOf(line)}: ${formatShare(line.budgetLeft)} left`;
  return left >= 0
    ? bar(labelWidth, y, left * plotWidth, remainingColour, title)
    : bar(labelWidth, y, -left * plotWidth, overdrawnColour, title);
};

/** Plots the budget of the long window: the rest in green, or the excess in red. */
export const budgetPlot = (lines: readonly BurnLine[]): Markup =>
  plot(
    'Error budget left by class and data centre',
    lines.length,
    ...[0, 0.5, 1].map((tick) =>
      text(labelWidth + tick * plotWidth, 14, formatShare(tick), 'middle'),
    ),
    ...lines.flatMap((line, row) => {
      const y = axisHeight + row * rowHeight;
      return [
        text(labelWidth - 10, y + rowHeight / 2 + 2, labelOf(line), 'end'),
        element('rect', {
          x: labelWidth,
          y: y + 14,
          width: plotWidth,
          height: barHeight,
          fill: '#ebf1f5',
        }),
        budgetBar(line, y + 14),
        text(labelWidth + plotWidth + 8, y + 25, formatShare(line.budgetLeft)),
      ];
    }),
  );

/** Plots bad calls by cause as stacked bars, scaled to the largest share of bad calls. */
export const causePlot = (lines: readonly BurnLine[]): Markup => {
  const badShare = (line: BurnLine): number => {
    const total = countCalls(line.long);
    return total === 0 ? 0 : (total - line.long.good) / total;
  };
  const highest = Math.max(...lines.map(badShare), 0) || 1;
  return plot(
    'Bad calls by cause, class and data centre',
    lines.length,
    text(labelWidth, 14, '0%', 'middle'),
    text(labelWidth + plotWidth, 14, formatShare(highest), 'middle'),
    ...lines.flatMap((line, row) => {
      const y = axisHeight + row * rowHeight;
      const total = countCalls(line.long) || 1;
      let x = labelWidth;
      const parts = causes.map((cause) => {
        const partWidth = (line.long[cause] / total / highest) * plotWidth;
        const title = `${labelOf(line)}: ${line.long[cause]} of ${total} calls ${cause}`;
        const part = bar(x, y + 14, partWidth, causeColours[cause], title);
        x += partWidth;
        return part;
      });
      return [
        text(labelWidth - 10, y + rowHeight / 2 + 2, labelOf(line), 'end'),
        ...parts,
        text(x + 8, y + 25, formatShare(badShare(line))),
      ];
    }),
  );
};
