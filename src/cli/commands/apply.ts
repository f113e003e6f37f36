/**
 * `auburnsill apply`: puts targets in force, and reports reliably whether they were accepted or
 * refused, or that the outcome is unknown.
 */
import { randomUUID } from 'node:crypto';
import { basename } from 'node:path';
import { userInfo } from 'node:os';
import { Command, Option } from 'clipanion';
import { maxTargetBytes, parseTargets } from '../../core/operators/configuration.js';
import { parseVersion } from '../../core/agreement/version.js';
import type { ApplyResponse, StatusResponse } from '../../gen/auburnsill/v1/operator_pb.js';
import type { Finding, Version } from '../../types/public.js';
import { failureTable } from '../../utils/failure.js';
import { formatFinding } from '../../utils/findings.js';
import { createTimer, type Timer } from '../../utils/timer.js';
import { OperatorCommand } from '../operatorCommand.js';
import { CommandFailure, exitCodes } from '../exitCodes.js';
import { laggingDataCentres, describeLaggards, waitUntilInForce } from '../inForce.js';
import type { OperatorClient } from '../operatorClient.js';
import { readFileArgument } from '../readFileArgument.js';
import { toVersion, formatWireVersion } from '../text.js';

const defaultWaitSeconds = 30;
const outcomeLimitMs = 15_000;
const outcomeRetryDelayMs = 500;
const msPerSecond = 1_000;

/** Findings in targets have a place in the file; other refusals have a reason as their place. */
const refusalReason = (findings: readonly Finding[]): 'findings' | 'refused' =>
  findings.every(({ place }) => !Object.hasOwn(failureTable, place)) ? 'findings' : 'refused';

const createUnknownOutcome = (changeId: string, cause: Error): CommandFailure =>
  new CommandFailure(
    'unknown',
    `${cause.message}; look it up later: auburnsill history --change-id ${changeId}`,
    { cause },
  );

export class ApplyCommand extends OperatorCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Commands',
    description: 'Put the targets of a file in force',
    details: `
      The change is a compare-and-set on the version that it is based on: by default the current
      one, or the one given with --base. It is accepted if every data centre is attached. Sending
      the same change id again returns the first outcome.
    `,
    examples: [
      ['See what would change', '$0 apply targets.toml --dry-run'],
      ['Apply and wait until it is in force on every proxy', '$0 apply targets.toml --wait'],
      [
        'Apply although a data centre is detached',
        '$0 apply targets.toml --allow-detached depot-aalst',
      ],
      ['Get the outcome of an earlier attempt', '$0 apply targets.toml --change-id 2f6c'],
    ],
  });

  file = Option.String({ name: 'FILE' });

  dryRun = Option.Boolean('--dry-run', false, {
    description: 'Check and show the difference only',
  });

  allowDetached = Option.Array('--allow-detached', [], {
    description: 'Accept the change although this data centre is detached',
  });

  base = Option.String('--base', { description: 'Version that the change is based on' });

  changeId = Option.String('--change-id', { description: 'Id of the change; default: a new one' });

  note = Option.String('--note', '', { description: 'Note for the history' });

  wait = Option.Boolean('--wait', false, { description: 'Wait until it is in force everywhere' });

  waitLimit = Option.String('--wait-limit', String(defaultWaitSeconds), {
    description: 'Longest wait in seconds',
  });

  private readonly timer: Timer = createTimer();

  protected run(): Promise<number> {
    return this.withClient(async (client) => {
      try {
        return await this.apply(client);
      } finally {
        this.timer.stop();
      }
    });
  }

  private async apply(client: OperatorClient): Promise<number> {
    const targets = await this.readTargets();
    const base = await this.findBase(client);
    const changeId = this.changeId ?? randomUUID();
    const reply = await this.sendUntilKnown(client, targets, base, changeId);
    reply.difference.forEach((line) => this.print(line));
    const handle = this.outcomeHandlers[reply.outcome];
    if (!handle) {
      throw new CommandFailure('internal', `unknown outcome ${JSON.stringify(reply.outcome)}`);
    }
    return handle(reply, changeId, client);
  }

  private async readTargets(): Promise<string> {
    const text = await readFileArgument(this.file);
    const bytes = Buffer.byteLength(text);
    if (bytes > maxTargetBytes) {
      throw new CommandFailure(
        'findings',
        `${this.file} is too large: ${bytes} bytes; allowed: ${maxTargetBytes} bytes at most`,
      );
    }
    const { findings } = parseTargets(text, basename(this.file));
    if (findings.length > 0) {
      throw new CommandFailure('findings', findings.map(formatFinding).join('\n'));
    }
    return text;
  }

  private async findBase(client: OperatorClient): Promise<Version> {
    if (this.base === undefined) {
      const current = await client.request(({ queries }) => queries.get({}), { retryable: true });
      return toVersion(current.version);
    }
    const version = parseVersion(this.base);
    if (!version) {
      throw new CommandFailure(
        'usage',
        `--base ${this.base}: not a version of the form TERM.INDEX`,
      );
    }
    return version;
  }

  /** Retries while the outcome is unknown; the change id makes it safe to send the change again. */
  private async sendUntilKnown(
    client: OperatorClient,
    targets: string,
    base: Version,
    changeId: string,
  ): Promise<ApplyResponse> {
    const deadline = this.timer.now() + outcomeLimitMs;
    for (;;) {
      try {
        const reply = await client.request(
          ({ commands }) => commands.apply(this.request(targets, base, changeId)),
          { retryable: false },
        );
        if (reply.outcome !== 'unknown' || this.timer.now() >= deadline) {
          return reply;
        }
      } catch (error) {
        const isUnknown = error instanceof CommandFailure && error.reason === 'unknown';
        if (!isUnknown || this.timer.now() >= deadline) {
          throw isUnknown ? createUnknownOutcome(changeId, error) : error;
        }
      }
      this.context.stderr.write(`the outcome of change ${changeId} is not known yet, retrying\n`);
      await this.timer.sleep(outcomeRetryDelayMs);
    }
  }

  private request(targets: string, base: Version, changeId: string) {
    return {
      changeId,
      baseVersion:
        base.index === 0 ? undefined : { term: BigInt(base.term), index: BigInt(base.index) },
      targets,
      fileName: basename(this.file),
      dryRun: this.dryRun,
      allowDetached: this.allowDetached,
      operator: userInfo().username,
      note: this.note,
    };
  }

  private readonly outcomeHandlers: Record<
    string,
    (reply: ApplyResponse, changeId: string, client: OperatorClient) => Promise<number> | number
  > = {
    accepted: (reply, changeId, client) => this.finishAccepted(reply, changeId, client),
    dry_run: (reply) => this.finishDryRun(reply),
    unchanged: (reply, changeId, client) => {
      this.print(
        `unchanged: version ${formatWireVersion(reply.version)} has these targets already`,
      );
      return this.wait
        ? this.finishAccepted(reply, changeId, client)
        : this.finish('ok', reply, changeId);
    },
    refused: (reply, changeId) => {
      this.printFindings(reply.findings);
      const isNotRun = reply.run !== 'may_have_run';
      this.context.stderr.write(`refused${isNotRun ? ', nothing was changed' : ''}\n`);
      return this.finish(refusalReason(reply.findings), reply, changeId);
    },
    unknown: (reply, changeId) => {
      this.printFindings(reply.findings);
      this.context.stderr.write(
        `unknown: the change may have been made; look it up later: auburnsill history --change-id ${changeId}\n`,
      );
      return this.finish('unknown', reply, changeId);
    },
  };

  private printFindings(findings: readonly Finding[]) {
    findings.forEach((finding) =>
      this.context.stderr.write(
        `${formatFinding({
          ...finding,
          found: finding.found || undefined,
          allowed: finding.allowed || undefined,
        })}\n`,
      ),
    );
  }

  private finishDryRun(reply: ApplyResponse): number {
    this.printFindings(reply.findings);
    if (reply.findings.length > 0) {
      return this.finish('findings', reply, '');
    }
    this.print(reply.difference.length === 0 ? 'nothing would change' : 'would be accepted');
    if (reply.dataCentresDetached.length > 0) {
      this.print(`not attached: ${reply.dataCentresDetached.join(', ')}`);
    }
    return this.finish('ok', reply, '');
  }

  private async finishAccepted(
    reply: ApplyResponse,
    changeId: string,
    client: OperatorClient,
  ): Promise<number> {
    const version = toVersion(reply.version);
    const replayed = reply.replayed ? ' (recorded for an earlier request with this change id)' : '';
    if (reply.outcome === 'accepted') {
      this.print(
        `accepted as version ${formatWireVersion(reply.version)}${replayed}, change ${changeId}`,
      );
    }
    const limitMs = this.wait ? this.waitLimitMs() : 0;
    const { status, complete } = await waitUntilInForce(client, version, {
      timer: this.timer,
      limitMs,
      onProgress: this.progressPrinter(),
    });
    if (complete) {
      const tookMs = Number(status.convergedMs);
      this.print(`in force on every proxy${tookMs > 0 ? ` after ${tookMs} ms` : ''}`);
      return this.finish('ok', reply, changeId, status);
    }
    this.print(
      `not confirmed in force yet in: ${laggingDataCentres(status).join(', ') || 'no data centre named'}`,
    );
    describeLaggards(status).forEach((line) => this.print(line));
    return this.finish(this.wait ? 'incomplete' : 'ok', reply, changeId, status);
  }

  private waitLimitMs(): number {
    const seconds = Number(this.waitLimit);
    if (!(seconds >= 0 && seconds <= 3_600)) {
      throw new CommandFailure(
        'usage',
        `--wait-limit ${this.waitLimit}: allowed: 0 to 3600 seconds`,
      );
    }
    return seconds * msPerSecond;
  }

  /** Prints a line whenever the number of nodes in force changes in a data centre. */
  private progressPrinter(): (status: StatusResponse) => void {
    let last = '';
    return (status) => {
      const line = status.dataCentres
        .map(({ name, nodes, nodesInForce }) => `${name} ${nodesInForce}/${nodes}`)
        .join('  ');
      if (this.wait && line !== last) {
        this.print(line);
      }
      last = line;
    };
  }

  private finish(
    reason: keyof typeof exitCodes,
    reply: ApplyResponse,
    changeId: string,
    status?: StatusResponse,
  ): number {
    const { outcome, run, findings, difference, dataCentresAttached, dataCentresDetached } = reply;
    this.printResult({
      ok: reason === 'ok',
      outcome,
      run: run || undefined,
      change_id: changeId || undefined,
      version: formatWireVersion(reply.version),
      replayed: reply.replayed,
      difference,
      findings,
      data_centres_attached: dataCentresAttached,
      data_centres_detached: dataCentresDetached,
      not_in_force: status ? laggingDataCentres(status) : undefined,
      converged_ms: status?.convergedMs,
    });
    return exitCodes[reason];
  }
}
