/** The command line: what the process is to do, by its arguments and the files that they name. */
import { Command, CommanderError } from 'commander';
import { defaultOperatorSettingsFor, type OperatorSettings } from '../config/operator-settings.js';
import { SettingsError } from '../config/settings-error.js';
import { readSettingsFile, type Settings } from '../config/settings.js';

/** That of package.json. */
const VERSION = '0.1.0';

/** The status of a process whose arguments are wrong, and of one whose settings are. */
const USAGE_STATUS = 2;
const SETTINGS_STATUS = 1;

/** To run, or to print something and end. */
export type CommandLine =
  | { readonly kind: 'run'; readonly settings: Settings; readonly operator: OperatorSettings }
  | {
      readonly kind: 'exit';
      readonly exitCode: number;
      /** Texts to print, mostly empty. */
      readonly stdout: string;
      readonly stderr: string;
    };

interface Options {
  readonly config?: string;
  readonly operator?: string;
  readonly check?: boolean;
}

const printed = (stdout: string): CommandLine => ({
  kind: 'exit',
  exitCode: 0,
  stdout,
  stderr: '',
});

const failed = (exitCode: number, reason: string): CommandLine => ({
  kind: 'exit',
  exitCode,
  stdout: '',
  stderr: `topazpin: ${reason}\n`,
});

/** What the arguments ask for. Wrong arguments and settings are outcomes; anything else is thrown. */
export async function parseCommandLine(argv: readonly string[]): Promise<CommandLine> {
  let stdout = '';
  let stderr = '';
  const command = createCommand().configureOutput({
    writeOut: (text) => (stdout += text),
    writeErr: (text) => (stderr += text),
  });
  const misused = (reason: string): CommandLine =>
    failed(USAGE_STATUS, `${reason}\nusage: topazpin ${command.usage()}`);
  try {
    command.parse(argv, { from: 'user' });
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    if (error.exitCode === 0) return printed(stdout);
    return misused(stderr.trim().replace(/^error: /, ''));
  }
  const { config, operator, check } = command.opts<Options>();
  if (config === undefined) return misused('--config is missing');
  try {
    const settings = readSettingsFile(config);
    const operatorSettings = await loadOperatorSettings(settings, operator);
    if (check) return printed('settings are valid\n');
    return { kind: 'run', settings, operator: operatorSettings };
  } catch (error) {
    if (error instanceof SettingsError) return failed(SETTINGS_STATUS, error.message);
    throw error;
  }
}

const createCommand = (): Command =>
  new Command('topazpin')
    .description('A cluster scheduler: rents machines, commands workers, answers for every job')
    .usage('--config FILE [--operator FILE] [--check]')
    .option('--config <file>', 'settings that the platform hands over (JSON)')
    .option('--operator <file>', "operators' own settings (XML)")
    .option('--check', 'check the settings and end')
    .version(VERSION, '--version', 'print the version')
    .helpOption('--help', 'print this help')
    .allowExcessArguments(false)
    .exitOverride();

async function loadOperatorSettings(
  settings: Settings,
  file: string | undefined,
): Promise<OperatorSettings> {
  if (file === undefined) return defaultOperatorSettingsFor(settings.workers);
  // Loaded only where it is used: start-up counts on small machines.
  const { checkLeaderLease, readOperatorSettingsFile } =
    await import('../config/operator-settings-file.js');
  const operator = readOperatorSettingsFile(file);
  checkLeaderLease(settings, operator);
  return operator;
}
