/**
 * `auburnsill explain-call`: where a node would send a call now, and why.
 */
import { Command, Option } from 'clipanion';
import { request } from 'undici';
import * as z from 'zod';
import { parseAddress } from '../../plugins/rpc.js';
import { BaseCommand } from '../baseCommand.js';
import { CommandFailure, exitCodes, type ExitReason } from '../exitCodes.js';
import { formatTable } from '../text.js';

const requestTimeoutMs = 3_000;
const maxAnswerBytes = 1024 * 1024;

const endpointSchema = z.looseObject({
  endpoint: z.string(),
  state: z.string(),
  distance: z.string(),
  version: z.string().optional(),
  cost_ms: z.number().optional(),
  share: z.number(),
  in_flight: z.number().optional(),
  waiting: z.number().optional(),
  limit: z.number().optional(),
  reported_pace: z.number().optional(),
  chosen_share: z.number(),
  reason: z.string().optional(),
});

/** Answer of a node to `/explain-call`. */
const answerSchema = z.looseObject({
  node: z.string(),
  version: z.string(),
  class: z.string(),
  tenant: z.looseObject({
    name: z.string().optional(),
    accepted: z.boolean(),
    reason: z.string(),
    rate: z.number().optional(),
    burst: z.number().optional(),
  }),
  policy: z.array(z.looseObject({ name: z.string(), value: z.string(), reason: z.string() })),
  services: z.array(
    z.looseObject({
      service: z.string(),
      prefers_endpoint_beside_node: z.boolean(),
      throttle: z.looseObject({
        refused_share_slots: z.number(),
        refused_share_nested_calls: z.number(),
        free_slot_beside_node: z.boolean(),
      }),
      endpoints: z.array(endpointSchema),
    }),
  ),
});

type Answer = z.infer<typeof answerSchema>;
type EndpointLine = z.infer<typeof endpointSchema>;

const failureReasons: Readonly<Record<number, ExitReason>> = { 400: 'usage', 404: 'notFound' };

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const formatEndpoint = (line: EndpointLine): string[] => [
  line.endpoint,
  line.state,
  line.distance,
  line.version ?? '-',
  line.cost_ms === undefined ? '-' : String(line.cost_ms),
  percent(line.share),
  line.in_flight === undefined ? '-' : `${line.in_flight}+${line.waiting}/${line.limit}`,
  line.reported_pace === undefined ? '-' : String(line.reported_pace),
  percent(line.chosen_share),
  line.reason ?? '',
];

const endpointHead = [
  'endpoint',
  'state',
  'distance',
  'version',
  'cost ms',
  'share',
  'load',
].concat(['pace', 'chosen', 'why not']);

const parseAnswer = (text: string): Answer => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new CommandFailure('unreachable', 'the answer is not JSON', { cause: error });
  }
  const parsed = answerSchema.safeParse(value);
  if (!parsed.success) {
    const field = parsed.error.issues[0]?.path.join('.');
    throw new CommandFailure('unreachable', `invalid answer of the node: ${field}`);
  }
  return parsed.data;
};

/** Formats the answer of a node as text. */
const formatAnswer = (answer: Answer): string => {
  const { tenant } = answer;
  const limit = tenant.rate === undefined ? '' : `, ${tenant.rate} a second`;
  return [
    `node ${answer.node}, version ${answer.version}`,
    `class ${answer.class}`,
    `tenant ${tenant.name ?? '-'}: ${tenant.accepted ? 'accepted' : 'refused'} (${tenant.reason})${limit}`,
    formatTable(answer.policy.map(({ name, value, reason }) => [name, value, reason])),
    ...answer.services.flatMap(({ service, throttle, endpoints }) => [
      '',
      `service ${service}`,
      `throttle: refuses ${percent(throttle.refused_share_slots)} for slots, ` +
        `${percent(throttle.refused_share_nested_calls)} for nested calls`,
      formatTable([endpointHead, ...endpoints.map(formatEndpoint)]),
    ]),
  ].join('\n');
};

export class ExplainCallCommand extends BaseCommand {
  static override paths = [['explain-call']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Show where a node would send a call now, and why',
    details: 'Asks the admin address of the node. The call is not sent, and nothing changes.',
    examples: [
      ['Explain a call', '$0 explain-call --node 127.0.0.1:8004 --host menu.example --path /menu'],
    ],
  });

  node = Option.String('--node', { required: true, description: 'Admin address of the node' });

  host = Option.String('--host', { required: true, description: 'Host that the caller names' });

  callPath = Option.String('--path', { required: true, description: 'Path of the call' });

  method = Option.String('--method', 'GET', { description: 'Method of the call' });

  tenant = Option.String('--tenant', { description: 'Name of the tenant that sends the call' });

  protected async run(): Promise<number> {
    const answer = await this.ask();
    this.print(formatAnswer(answer));
    this.printResult({ ok: true, ...answer });
    return exitCodes.ok;
  }

  private async ask(): Promise<Answer> {
    const { node, host, callPath: path, method, tenant } = this;
    if (!parseAddress(node)) {
      throw new CommandFailure('usage', '--node: an address of the form ip:port');
    }
    const query = new URLSearchParams({
      host,
      path,
      method,
      ...(tenant !== undefined && { tenant }),
    });
    const { status, text } = await this.fetch(`http://${node}/explain-call?${query}`);
    if (status !== 200) {
      throw new CommandFailure(failureReasons[status] ?? 'refused', text.trim());
    }
    return parseAnswer(text);
  }

  private async fetch(url: string): Promise<{ status: number; text: string }> {
    try {
      const { statusCode, body } = await request(url, {
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs,
      });
      let text = '';
      for await (const part of body.setEncoding('utf8')) {
        text += part;
        if (text.length > maxAnswerBytes) {
          throw new Error(`the answer is larger than ${maxAnswerBytes} bytes`);
        }
      }
      return { status: statusCode, text };
    } catch (error) {
      throw new CommandFailure('unreachable', `${this.node}: ${String(error)}`, { cause: error });
    }
  }
}
