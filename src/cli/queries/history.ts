/**
 * `auburnsill history`: the latest changes, or the outcome of the change with a given id.
 */
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { formatTable, formatWireVersion } from '../text.js';

const defaultLimit = 20;
const maxLimit = 10_000;

export class HistoryCommand extends OperatorCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Show the latest changes, or the outcome of one change',
    details: 'A change whose id is not in the history was not made and will not be.',
    examples: [
      ['Show the latest changes', '$0 history'],
      ['Show the outcome of a change', '$0 history --change-id 2f6c'],
    ],
  });

  limit = Option.String('--limit', String(defaultLimit), { description: 'Number of changes' });

  changeId = Option.String('--change-id', '', { description: 'Id of one change' });

  protected run(): Promise<number> {
    const limit = Number(this.limit);
    if (!Number.isInteger(limit) || limit < 1 || limit > maxLimit) {
      throw new CommandFailure('usage', `--limit ${this.limit}: allowed: 1 to ${maxLimit}`);
    }
    return this.withClient(async (client) => {
      const { outcome, items } = await client.request(
        ({ queries }) => queries.history({ limit, changeId: this.changeId }),
        { retryable: true },
      );
      if (this.changeId !== '' && items.length === 0) {
        throw new CommandFailure(
          'refused',
          `change ${this.changeId} is not in the history: ${outcome}`,
        );
      }
      this.print(
        formatTable([
          ['VERSION', 'TIME', 'OUTCOME', 'OPERATOR', 'CHANGE ID', 'NOTE'],
          ...items.map((item) => [
            formatWireVersion(item.version),
            new Date(Number(item.acceptedAtMs)).toISOString(),
            item.outcome,
            item.operator,
            item.changeId,
            item.note,
          ]),
        ]),
      );
      this.printResult({
        ok: true,
        items: items.map((item) => ({
          version: formatWireVersion(item.version),
          accepted_at_ms: item.acceptedAtMs,
          outcome: item.outcome,
          operator: item.operator,
          change_id: item.changeId,
          note: item.note,
        })),
      });
      return exitCodes.ok;
    });
  }
}
