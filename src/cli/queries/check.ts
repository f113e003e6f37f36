/**
 * `auburnsill check`: checks a settings or target file without a connection.
 */
import { Command, Option } from 'clipanion';
import { BaseCommand } from '../baseCommand.js';
import { checkFile } from '../checkFile.js';
import { formatFinding } from '../../utils/findings.js';
import { exitCodes } from '../exitCodes.js';
import { readFileArgument } from '../readFileArgument.js';
import { pluralize } from '../text.js';

export class CheckCommand extends BaseCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Check a settings or target file and report every problem in it',
    details: `
      The kind of file is detected from its tables: [node], [control], a list of control addresses,
      or targets. For the checks that need the fleet, use \`apply --dry-run\`.
    `,
    examples: [
      ['Check targets', '$0 check targets.toml'],
      ['Check the settings of a node', '$0 check node.toml'],
    ],
  });

  file = Option.String({ name: 'FILE' });

  protected async run(): Promise<number> {
    const text = await readFileArgument(this.file);
    const { kind, findings } = checkFile(text, this.file);
    findings.forEach((finding) => this.context.stderr.write(`${formatFinding(finding)}\n`));
    const result = findings.length === 0 ? 'correct' : pluralize(findings.length, 'finding');
    this.print(`${this.file}: ${kind}, ${result}`);
    this.printResult({ ok: findings.length === 0, kind, findings });
    return findings.length === 0 ? exitCodes.ok : exitCodes.findings;
  }
}
