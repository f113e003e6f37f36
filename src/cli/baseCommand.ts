/**
 * Base class of all commands: prints text or JSON, and maps expected failures to exit codes.
 */
import { Command, Option } from 'clipanion';
import { CommandFailure, exitCodes } from './exitCodes.js';
import { formatJson } from './text.js';

export abstract class BaseCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print one JSON object' });

  /** Prints a line of text, except with `--json`, which prints only the result. */
  protected print(line: string) {
    if (!this.json) {
      this.context.stdout.write(`${line}\n`);
    }
  }

  /** Prints the result as one line of JSON if `--json` is given. */
  protected printResult(result: object) {
    if (this.json) {
      this.context.stdout.write(`${formatJson(result)}\n`);
    }
  }

  protected abstract run(): Promise<number>;

  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof CommandFailure)) {
        throw error;
      }
      this.printResult({ ok: false, reason: error.reason, message: error.message });
      this.context.stderr.write(`${error.reason}: ${error.message}\n`);
      return exitCodes[error.reason];
    }
  }
}
