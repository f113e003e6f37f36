/**
 * The operators' command line.
 */
import { runCli } from '../cli/cli.js';

process.exitCode = await runCli(process.argv.slice(2));
