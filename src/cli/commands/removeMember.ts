/**
 * `auburnsill members remove`: removes a control instance.
 */
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { membershipExitCode, sendMembershipChange } from './membershipChange.js';

export class RemoveMemberCommand extends OperatorCommand {
  static override paths = [['members', 'remove']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Remove a control instance for good',
    examples: [['Remove an instance', '$0 members remove control-aalst']],
  });

  member = Option.String({ name: 'NAME' });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const reply = await sendMembershipChange(client, { action: 'remove', member: this.member });
      const exitCode = membershipExitCode(reply);
      this.print([reply.outcome, reply.message].filter((text) => text !== '').join(': '));
      this.printResult({ ok: exitCode === 0, outcome: reply.outcome, message: reply.message });
      return exitCode;
    });
  }
}
