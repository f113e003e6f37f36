/**
 * `auburnsill report`: burn rate of error budgets, from the reports of the nodes, as text, JSON or
 * an HTML page.
 */
import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { parseTargets } from '../../core/operators/configuration.js';
import type { Configuration } from '../../types/public.js';
import { formatFinding } from '../../utils/findings.js';
import { nodeAddresses, type ConnectionOptions } from '../connectionSettings.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { OperatorCommand } from '../operatorCommand.js';
import { readFileArgument } from '../readFileArgument.js';
import { collectBurn, createReport } from '../report/reportData.js';
import { formatReportPage } from '../report/reportHtml.js';
import { formatReport } from '../report/reportText.js';
import { formatWireVersion } from '../text.js';

interface Targets {
  readonly configuration: Configuration;
  readonly version: string;
}

const parse = (text: string, file: string): Configuration => {
  const { configuration, findings } = parseTargets(text, file);
  if (!configuration) {
    throw new CommandFailure('findings', findings.map(formatFinding).join('\n'));
  }
  return configuration;
};

export class ReportCommand extends OperatorCommand {
  static override paths = [['report']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Show how fast each class uses its error budget, and the main causes',
    details: `
      Fetches the counts of every node and compares them with the targets in force, or with those
      of a file. Ends with exit code 8 if a node did not report.
    `,
    examples: [
      ['Show the report', '$0 report --nodes 127.0.0.1:8004,127.0.0.1:8014'],
      ['Write it as a page', '$0 report --config auburnsill.toml --html burn.html'],
      ['Compare with other targets', '$0 report --targets next.toml'],
    ],
  });

  nodes = Option.String('--nodes', {
    description: 'Admin addresses of nodes, separated by commas',
  });

  targets = Option.String('--targets', { description: 'Compare with the targets of this file' });

  html = Option.String('--html', { description: 'Write an HTML page to this file' });

  protected override connectionOptions(): ConnectionOptions {
    return { ...super.connectionOptions(), nodes: this.nodes };
  }

  protected async run(): Promise<number> {
    const addresses = nodeAddresses(this.connectionOptions(), this.context.env);
    const { configuration, version } = await this.readTargets();
    const report = createReport(await collectBurn(addresses), configuration, version, new Date());
    if (report.nodes === 0) {
      const reasons = report.missing.map(({ address, reason }) => `${address}: ${reason}`);
      throw new CommandFailure('unreachable', `no node reported\n${reasons.join('\n')}`);
    }
    if (this.html !== undefined) {
      await writeFile(this.html, formatReportPage(report));
    }
    this.print(formatReport(report));
    this.printResult({
      ok: report.missing.length === 0,
      version,
      nodes: report.nodes,
      missing: report.missing,
      short_ms: report.snapshot.shortMs,
      long_ms: report.snapshot.longMs,
      lines: report.lines.map((line) => ({
        class: line.className,
        data_centre: line.dataCentre,
        short: line.short,
        long: line.long,
        allowed_share: line.allowedShare,
        short_burn: line.shortBurn,
        long_burn: line.longBurn,
        budget_left: line.budgetLeft,
        main_cause: line.mainCause,
      })),
    });
    return report.missing.length === 0 ? exitCodes.ok : exitCodes.incomplete;
  }

  private async readTargets(): Promise<Targets> {
    const { targets: file } = this;
    if (file !== undefined) {
      const text = await readFileArgument(file);
      return { configuration: parse(text, file), version: file };
    }
    return this.withClient(async (client) => {
      const reply = await client.request(({ queries }) => queries.get({}), { retryable: true });
      return {
        configuration: parse(reply.targets, 'targets'),
        version: formatWireVersion(reply.version),
      };
    });
  }
}
