/**
 * `auburnsill drain`: takes an endpoint out of use, or back.
 */
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { exitCodes } from '../exitCodes.js';

export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Take an endpoint out of use; calls in flight end normally',
    examples: [
      ['Drain an endpoint', '$0 drain 127.0.0.1:9001'],
      ['Put it back to use', '$0 drain 127.0.0.1:9001 --undo'],
    ],
  });

  endpoint = Option.String({ name: 'ENDPOINT' });

  undo = Option.Boolean('--undo', false, { description: 'Put the endpoint back to use' });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const { outcome, message } = await client.ask(
        ({ commands }) => commands.drain({ endpointId: this.endpoint, undo: this.undo }),
        { repeatable: true },
      );
      const isDone = ['accepted', 'ok', 'done'].includes(outcome);
      this.print([outcome, message].filter((text) => text !== '').join(': '));
      this.printResult({ ok: isDone, outcome, message });
      return isDone ? exitCodes.ok : exitCodes.refused;
    });
  }
}
