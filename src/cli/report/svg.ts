/**
 * SVG and HTML elements as text. Values are escaped here and nowhere else.
 */
export type Attributes = Readonly<Record<string, string | number>>;

/** Markup that is safe to embed. */
export interface Markup {
  readonly markup: string;
}

export const escapeText = (text: string): string =>
  text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');

const formatNumber = (value: number): string => String(Math.round(value * 100) / 100);

const formatValue = (value: string | number): string =>
  typeof value === 'number' ? formatNumber(value) : escapeText(value);

/** Creates an element. Children are markup or text; text is escaped. */
export const element = (
  name: string,
  attributes: Attributes = {},
  ...children: readonly (Markup | string)[]
): Markup => {
  const start = [
    name,
    ...Object.entries(attributes).map(([key, value]) => `${key}="${formatValue(value)}"`),
  ].join(' ');
  const content = children
    .map((child) => (typeof child === 'string' ? escapeText(child) : child.markup))
    .join('');
  return { markup: `<${start}>${content}</${name}>` };
};
