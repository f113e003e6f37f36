/**
 * All commands of the command line, and the exit codes of unexpected errors.
 */
import { Builtins, Cli, type CommandClass } from 'clipanion';
import packageFile from '../../package.json' with { type: 'json' };
import { AddMemberCommand } from './commands/addMember.js';
import { ApplyCommand } from './commands/apply.js';
import { DrainCommand } from './commands/drain.js';
import { RolloutCommand } from './commands/rollout.js';
import { RemoveMemberCommand } from './commands/removeMember.js';
import { exitCodes } from './exitCodes.js';
import { CheckCommand } from './queries/check.js';
import { ExplainCommand } from './queries/explain.js';
import { ExplainCallCommand } from './queries/explainCall.js';
import { GetCommand } from './queries/get.js';
import { HistoryCommand } from './queries/history.js';
import { MembersCommand } from './queries/members.js';
import { ReportCommand } from './queries/report.js';
import { StatusCommand } from './queries/status.js';
import { TraceCommand } from './queries/trace.js';

const commands: CommandClass[] = [
  ApplyCommand,
  DrainCommand,
  RolloutCommand,
  MembersCommand,
  AddMemberCommand,
  RemoveMemberCommand,
  CheckCommand,
  ExplainCommand,
  ExplainCallCommand,
  GetCommand,
  HistoryCommand,
  ReportCommand,
  StatusCommand,
  TraceCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

const createCli = () =>
  Cli.from(commands, {
    binaryLabel: 'Auburnsill',
    binaryName: 'auburnsill',
    binaryVersion: packageFile.version,
    enableCapture: false,
    enableColors: process.stdout.isTTY && process.stderr.isTTY,
  });

/** Runs one command and returns its exit code. */
export const runCli = async (args: string[]): Promise<number> => {
  const cli = createCli();
  try {
    const command = cli.process(args, {});
    return await cli.run(command, {});
  } catch (error) {
    const isUsageError = error instanceof Error && 'clipanion' in error;
    process.stderr.write(cli.error(error));
    return isUsageError ? exitCodes.usage : exitCodes.internal;
  }
};
