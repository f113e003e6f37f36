/**
 * `auburnsill rollout`: orders the rollout of a version of a service, or shows its state.
 */
import { Command, Option } from 'clipanion';
import { parseDuration } from '../../core/operators/durations.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import type { OperatorClient } from '../operatorClient.js';
import { OperatorCommand } from '../operatorCommand.js';
import { formatTable } from '../text.js';

/** Longest period, in ms: a day. */
const maxPeriodMs = 86_400_000;

export class RolloutCommand extends OperatorCommand {
  static override paths = [['rollout']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Move the calls of a service to endpoints of another version, or show the state',
    details:
      'The version is rolled back if its answers are worse than those of the other versions.',
    examples: [
      ['Roll out a version', '$0 rollout routedienst v2 --period 12s'],
      ['Show the state of the newest rollout', '$0 rollout routedienst'],
    ],
  });

  service = Option.String({ name: 'SERVICE' });

  version = Option.String({ name: 'VERSION', required: false });

  period = Option.String('--period', {
    description: 'Time within which the rollout is completed or rolled back, such as 12s',
  });

  private readPeriod(): number {
    const periodMs = parseDuration(this.period ?? '');
    if (periodMs === undefined || !(periodMs > 0 && periodMs <= maxPeriodMs)) {
      const found = this.period ?? 'nothing';
      throw new CommandFailure('usage', `--period ${found}: allowed: a duration up to 24h`);
    }
    return Math.ceil(periodMs);
  }

  private async order(client: OperatorClient, targetVersion: string): Promise<number> {
    const periodMs = this.readPeriod();
    const { outcome, message } = await client.request(
      ({ rollouts }) => rollouts.startRollout({ service: this.service, targetVersion, periodMs }),
      { retryable: true },
    );
    const isAccepted = outcome === 'accepted';
    this.print([outcome, message].filter((text) => text !== '').join(': '));
    this.printResult({ ok: isAccepted, outcome, message });
    if (outcome === 'unknown') {
      return exitCodes.unknown;
    }
    return isAccepted ? exitCodes.ok : exitCodes.refused;
  }

  private async show(client: OperatorClient): Promise<number> {
    const reply = await client.request(
      ({ rollouts }) => rollouts.readRollout({ service: this.service }),
      {
        retryable: true,
      },
    );
    if (reply.outcome === 'not_found') {
      throw new CommandFailure('notFound', `service ${this.service} has no rollout`);
    }
    const { state, targetVersion, stage, startedAtMs, changedAtMs, blockedVersions } = reply;
    this.print(
      formatTable([
        ['STATE', 'VERSION', 'STAGE', 'STARTED', 'CHANGED', 'BLOCKED VERSIONS'],
        [
          state,
          targetVersion,
          stage,
          new Date(Number(startedAtMs)).toISOString(),
          new Date(Number(changedAtMs)).toISOString(),
          blockedVersions.join(', '),
        ],
      ]),
    );
    this.printResult({
      ok: true,
      state,
      target_version: targetVersion,
      stage,
      canary_share: reply.canaryShare,
      period_ms: reply.periodMs,
      started_at_ms: startedAtMs,
      changed_at_ms: changedAtMs,
      blocked_versions: blockedVersions,
    });
    return exitCodes.ok;
  }

  protected run(): Promise<number> {
    const { version } = this;
    if (version === undefined && this.period !== undefined) {
      throw new CommandFailure('usage', '--period: allowed only with VERSION');
    }
    if (version !== undefined) {
      this.readPeriod();
    }
    return this.withClient((client) =>
      version === undefined ? this.show(client) : this.order(client, version),
    );
  }
}
