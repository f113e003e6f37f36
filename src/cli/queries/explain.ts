/**
 * `auburnsill explain`: the policy derived from the target of a class, with the calculation.
 */
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { formatTable, formatWireVersion } from '../text.js';

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: "Show the policy derived from a class's target, and why",
    examples: [['Explain a class', '$0 explain field-lookup']],
  });

  className = Option.String({ name: 'CLASS' });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const reply = await client.request(
        ({ queries }) => queries.explain({ className: this.className }),
        { retryable: true },
      );
      if (reply.outcome !== 'ok') {
        throw new CommandFailure('refused', `class ${this.className}: ${reply.outcome}`);
      }
      this.print(`class ${this.className} in version ${formatWireVersion(reply.version)}`);
      this.print(formatTable(reply.lines.map(({ name, value, reason }) => [name, value, reason])));
      this.printResult({
        ok: true,
        class: this.className,
        version: formatWireVersion(reply.version),
        lines: reply.lines.map(({ name, value, reason }) => ({ name, value, reason })),
      });
      return exitCodes.ok;
    });
  }
}
