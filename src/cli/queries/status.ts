/**
 * `auburnsill status`: where the current version is in force, and which nodes are behind and why.
 */
import { Command } from 'clipanion';
import type { StatusResponse } from '../../gen/auburnsill/v1/operator_pb.js';
import { OperatorCommand } from '../operatorCommand.js';
import { exitCodes } from '../exitCodes.js';
import { fetchStatus, laggingDataCentres, describeLaggards } from '../inForce.js';
import { formatTable, formatWireVersion } from '../text.js';

const summarize = (status: StatusResponse) => ({
  ok: laggingDataCentres(status).length === 0,
  version: formatWireVersion(status.version),
  converged_ms: status.convergedMs,
  leader: status.leaderAddress,
  data_centres: status.dataCentres.map((dataCentre) => ({
    name: dataCentre.name,
    region: dataCentre.region,
    control: dataCentre.control,
    attached: dataCentre.attached,
    confirmed_age_ms: dataCentre.confirmedAgeMs,
    nodes: dataCentre.nodes,
    nodes_in_force: dataCentre.nodesInForce,
    behind: dataCentre.laggards.map(({ name, version, reason }) => ({
      name,
      version: formatWireVersion(version),
      reason,
    })),
  })),
  members: status.members.map((member) => ({
    name: member.name,
    address: member.address,
    data_centre: member.dataCentre,
    role: member.role,
    log_index: member.matchIndex,
    incarnation: member.incarnation,
  })),
  services: status.services.map(({ name, endpoints, slots, leaving }) => ({
    name,
    endpoints,
    slots,
    leaving,
  })),
});

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Show where the current version is in force, and which nodes are behind and why',
    details: 'Ends with exit code 8 while a data centre or a node is behind.',
    examples: [
      ['Show the status', '$0 status'],
      ['Read it in a script', '$0 status --json'],
    ],
  });

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      const status = await fetchStatus(client);
      this.printStatus(status);
      const summary = summarize(status);
      this.printResult(summary);
      return summary.ok ? exitCodes.ok : exitCodes.incomplete;
    });
  }

  private printStatus(status: StatusResponse) {
    const tookMs = Number(status.convergedMs);
    const took = tookMs > 0 ? `, in force everywhere after ${tookMs} ms` : '';
    this.print(`version ${formatWireVersion(status.version)}${took}`);
    this.print('');
    this.print(
      formatTable([
        ['DATA CENTRE', 'ATTACHED', 'IN FORCE', 'CONFIRMED', 'CONTROL'],
        ...status.dataCentres.map((dataCentre) => [
          dataCentre.name,
          dataCentre.attached ? 'yes' : 'no',
          `${dataCentre.nodesInForce} of ${dataCentre.nodes}`,
          `${dataCentre.confirmedAgeMs} ms ago`,
          dataCentre.control,
        ]),
      ]),
    );
    describeLaggards(status).forEach((line) => this.print(line));
    this.print('');
    this.print(
      formatTable([
        ['SERVICE', 'ENDPOINTS', 'SLOTS', 'LEAVING'],
        ...status.services.map(({ name, endpoints, slots, leaving }) => [
          name,
          String(endpoints),
          String(slots),
          String(leaving),
        ]),
      ]),
    );
  }
}
