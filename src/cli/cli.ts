import { Command, CommanderError } from 'commander';
import { defaultsFor, type OperatorSettings } from '../config/operator.js';
import { SettingsError } from '../config/input.js';
import { readSettings, type Settings } from '../config/settings.js';

export const VERSION = '0.1.0';

export type Start =
  | { kind: 'run'; settings: Settings; operator: OperatorSettings }
  | { kind: 'exit'; code: number; out?: string; err?: string };

/** What the command line asks for: to run, or to end with a word and a status. */
export async function parseCommandLine(argv: readonly string[]): Promise<Start> {
  let out = '';
  let err = '';
  const command = new Command('topazpin')
    .description('A cluster scheduler: rents machines, commands workers, answers for every job')
    .usage('--config FILE [--operator FILE] [--check]')
    .option('--config <file>', 'settings that the platform hands over (JSON)')
    .option('--operator <file>', "operators' own settings (XML)")
    .option('--check', 'check the settings and end')
    .version(VERSION, '--version', 'print the version')
    .helpOption('--help', 'print this help')
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({ writeOut: (s) => (out += s), writeErr: (s) => (err += s) });
  const usage = (why: string): Start => ({
    kind: 'exit',
    code: 2,
    err: `topazpin: ${why}\nusage: topazpin ${command.usage()}\n`,
  });
  try {
    command.parse(argv, { from: 'user' });
  } catch (e) {
    if (!(e instanceof CommanderError)) throw e;
    if (e.exitCode === 0) return { kind: 'exit', code: 0, out };
    return usage(err.trim().replace(/^error: /, ''));
  }
  const opts = command.opts<{ config?: string; operator?: string; check?: boolean }>();
  if (opts.config === undefined) return usage('--config is missing');
  try {
    const settings = readSettings(opts.config);
    let operator = defaultsFor(settings.workers);
    if (opts.operator !== undefined) {
      // Loaded only where it is used: start-up counts on small machines.
      const config = await import('../config/operator-file.js');
      operator = config.readOperator(opts.operator);
      config.checkLeaderLease(settings, operator);
    }
    if (opts.check) return { kind: 'exit', code: 0, out: 'settings are valid\n' };
    return { kind: 'run', settings, operator };
  } catch (e) {
    if (e instanceof SettingsError)
      return { kind: 'exit', code: 1, err: `topazpin: ${e.message}\n` };
    throw e;
  }
}
