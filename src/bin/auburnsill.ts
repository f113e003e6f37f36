/**
 * Entry point of the operator command line, `auburnsill`.
 */
import { runCli } from '../cli/cli.js';

process.exitCode = await runCli(process.argv.slice(2));
