/**
 * `auburnsill members add`: adds a control instance, or adds back one that lost its disk.
 */
import { Command, Option } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { membershipExitCode, sendMembershipChange } from './membershipChange.js';

export class AddMemberCommand extends OperatorCommand {
  static override paths = [['members', 'add']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Add a control instance to those that replicate the log',
    details: `
      The instance has to be running. A member that lost its disk rejoins by itself and needs no
      command.
    `,
    examples: [
      [
        'Add an instance',
        '$0 members add control-aalst --address 127.0.0.1:7011 --data-centre depot-aalst --region oost-vlaanderen',
      ],
    ],
  });

  member = Option.String({ name: 'NAME' });

  incarnation = Option.String('--incarnation', '', {
    description: 'Id of its data folder; default: requested from the instance',
  });

  address = Option.String('--address', { required: true });

  dataCentre = Option.String('--data-centre', { required: true });

  region = Option.String('--region', { required: true });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const reply = await sendMembershipChange(client, {
        action: 'add',
        member: this.member,
        incarnation: this.incarnation,
        address: this.address,
        dataCentre: this.dataCentre,
        region: this.region,
      });
      const exitCode = membershipExitCode(reply);
      this.print([reply.outcome, reply.message].filter((text) => text !== '').join(': '));
      this.printResult({ ok: exitCode === 0, outcome: reply.outcome, message: reply.message });
      return exitCode;
    });
  }
}
