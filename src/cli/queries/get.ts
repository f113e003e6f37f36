/**
 * `auburnsill get`: prints the targets of a version.
 */
import { Command, Option } from 'clipanion';
import { parseVersion } from '../../core/agreement/version.js';
import { OperatorCommand } from '../operatorCommand.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { formatWireVersion } from '../text.js';

export class GetCommand extends OperatorCommand {
  static override paths = [['get']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Print the targets that are in force, or those of an older version',
    examples: [
      ['Save the current targets', '$0 get > targets.toml'],
      ['Print an older version', '$0 get --version 3.14'],
    ],
  });

  version = Option.String('--version', { description: 'Version of the form TERM.INDEX' });

  protected run(): Promise<number> {
    const version = this.version === undefined ? undefined : parseVersion(this.version);
    if (this.version !== undefined && !version) {
      throw new CommandFailure('usage', `--version ${this.version}: not of the form TERM.INDEX`);
    }
    return this.withClient(async (client) => {
      const reply = await client.request(
        ({ queries }) =>
          queries.get({
            version: version && { term: BigInt(version.term), index: BigInt(version.index) },
          }),
        { retryable: true },
      );
      if (reply.outcome !== 'ok') {
        throw new CommandFailure(
          'refused',
          `version ${this.version ?? 'current'}: ${reply.outcome}`,
        );
      }
      this.context.stderr.write(`version ${formatWireVersion(reply.version)}\n`);
      this.print(reply.targets.trimEnd());
      this.printResult({
        ok: true,
        version: formatWireVersion(reply.version),
        targets: reply.targets,
      });
      return exitCodes.ok;
    });
  }
}
