/**
 * `auburnsill drain`: takes an endpoint out of use, or puts it back.
 */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { formatWireVersion } from '../text.js';
import { exitCodes } from '../exitCodes.js';

export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Take an endpoint out of use; calls in flight end normally',
    examples: [
      ['Drain an endpoint', '$0 drain routedienst-1'],
      ['Put it back into use', '$0 drain routedienst-1 --undo'],
    ],
  });

  endpoint = Option.String({ name: 'ENDPOINT' });

  changeId = Option.String('--change-id', randomUUID(), {
    description: 'Id under which the outcome is stored; sending it again has no further effect',
  });

  undo = Option.Boolean('--undo', false, { description: 'Put the endpoint back into use' });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const { outcome, message, version } = await client.request(
        ({ commands }) =>
          commands.drain({ endpointId: this.endpoint, undo: this.undo, changeId: this.changeId }),
        { retryable: true },
      );
      const isDone = ['accepted', 'unchanged'].includes(outcome);
      this.print([outcome, message].filter((text) => text !== '').join(': '));
      this.printResult({
        ok: isDone,
        outcome,
        message,
        version: formatWireVersion(version),
        change_id: this.changeId,
      });
      if (outcome === 'unknown') {
        return exitCodes.unknown;
      }
      return isDone ? exitCodes.ok : exitCodes.refused;
    });
  }
}
