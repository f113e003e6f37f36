/**
 * `auburnsill members`: shows the control instances that replicate the log.
 */
import { Command } from 'clipanion';
import { OperatorCommand } from '../operatorCommand.js';
import { exitCodes } from '../exitCodes.js';
import { fetchStatus } from '../inForce.js';
import { formatTable } from '../text.js';

export class MembersCommand extends OperatorCommand {
  static override paths = [['members']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Show the control instances and how far each has replicated the log',
    examples: [['Show the members', '$0 members']],
  });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const { members } = await fetchStatus(client);
      this.print(
        formatTable([
          ['NAME', 'ROLE', 'DATA CENTRE', 'ADDRESS', 'LOG INDEX', 'INCARNATION'],
          ...members.map((member) => [
            member.name,
            member.role,
            member.dataCentre,
            member.address,
            String(member.matchIndex),
            member.incarnation,
          ]),
        ]),
      );
      this.printResult({ ok: true, members });
      return exitCodes.ok;
    });
  }
}
