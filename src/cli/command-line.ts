/** Parses the command line and reads the settings files that it names. */
import { Command, CommanderError } from 'commander';
import { defaultOperatorSettingsFor, type OperatorSettings } from '../config/operator-settings.js';
import { SettingsError } from '../config/settings-error.js';
import { readSettingsFile, type Settings } from '../config/settings.js';

/** The version in package.json. */
const VERSION = '0.1.0';

/** The exit codes for invalid arguments and for invalid settings. */
const USAGE_ERROR_EXIT_CODE = 2;
const SETTINGS_ERROR_EXIT_CODE = 1;

/** The action that the command line requests: run a controller, or print texts and exit. */
export type CommandLine =
  | { readonly kind: 'run'; readonly settings: Settings; readonly operator: OperatorSettings }
  | {
      readonly kind: 'exit';
      readonly exitCode: number;
      /** The texts to print; either may be empty. */
      readonly stdout: string;
      readonly stderr: string;
    };

interface Options {
  readonly config?: string;
  readonly operator?: string;
  readonly check?: boolean;
}

const exitWithOutput = (stdout: string): CommandLine => ({
  kind: 'exit',
  exitCode: 0,
  stdout,
  stderr: '',
});

const exitWithError = (exitCode: number, reason: string): CommandLine => ({
  kind: 'exit',
  exitCode,
  stdout: '',
  stderr: `topazpin: ${reason}\n`,
});

/** Parses the arguments. Invalid arguments and settings result in an exit code and a message; other errors are thrown. */
export async function parseCommandLine(argv: readonly string[]): Promise<CommandLine> {
  let stdout = '';
  let stderr = '';
  const command = createCommand().configureOutput({
    writeOut: (text) => (stdout += text),
    writeErr: (text) => (stderr += text),
  });
  const exitWithUsage = (reason: string): CommandLine =>
    exitWithError(USAGE_ERROR_EXIT_CODE, `${reason}\nusage: topazpin ${command.usage()}`);
  try {
    command.parse(argv, { from: 'user' });
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    if (error.exitCode === 0) return exitWithOutput(stdout);
    return exitWithUsage(stderr.trim().replace(/^error: /, ''));
  }
  const { config, operator, check } = command.opts<Options>();
  if (config === undefined) return exitWithUsage('--config is missing');
  try {
    const settings = readSettingsFile(config);
    const operatorSettings = await loadOperatorSettings(settings, operator);
    if (check) return exitWithOutput('settings are valid\n');
    return { kind: 'run', settings, operator: operatorSettings };
  } catch (error) {
    if (error instanceof SettingsError)
      return exitWithError(SETTINGS_ERROR_EXIT_CODE, error.message);
    throw error;
  }
}

const createCommand = (): Command =>
  new Command('topazpin')
    .description(
      'A cluster scheduler: accepts jobs, rents machines and runs tasks on their workers',
    )
    .usage('--config FILE [--operator FILE] [--check]')
    .option('--config <file>', 'settings from the platform (JSON)')
    .option('--operator <file>', "operators' own settings (XML)")
    .option('--check', 'check the settings and exit')
    .version(VERSION, '--version', 'print the version')
    .helpOption('--help', 'print this help')
    .allowExcessArguments(false)
    .exitOverride();

async function loadOperatorSettings(
  settings: Settings,
  file: string | undefined,
): Promise<OperatorSettings> {
  if (file === undefined) return defaultOperatorSettingsFor(settings.workers);
  // Loaded only when it is needed, since start-up time matters on small machines.
  const { checkLeaderLease, readOperatorSettingsFile } =
    await import('../config/operator-settings-file.js');
  const operator = readOperatorSettingsFile(file);
  checkLeaderLease(settings, operator);
  return operator;
}
