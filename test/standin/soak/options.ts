/** The command line of the soak test. */
import { Command, InvalidArgumentError } from 'commander';

/** What one soak run does. */
export interface SoakOptions {
  /** The first seed. Each seed is a run of its own. */
  readonly seed: number;
  /** How many seeds are run, one after the other. */
  readonly seeds: number;
  /** The approximate number of workers. */
  readonly workers: number;
  /** How long faults are injected, in seconds. */
  readonly faultSeconds: number;
  /** How long the invariants are checked after the last fault, in seconds. */
  readonly quietSeconds: number;
}

/** Longer than the time for which a job may wait beside free machines, the longest that an invariant allows. */
const MIN_QUIET_SECONDS = 95;

function integerBetween(min: number, max: number): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < min || value > max) {
      throw new InvalidArgumentError(`It must be an integer from ${min} to ${max}.`);
    }
    return value;
  };
}

/** Parses the arguments. Invalid ones end the process with usage and status 2, before anything starts. */
export function parseOptions(argv: readonly string[]): SoakOptions {
  return new Command('soak')
    .description('Runs real controller processes under random faults and checks the invariants.')
    .option('--seed <n>', 'the first seed', integerBetween(1, 1e9), 1)
    .option('--seeds <n>', 'how many seeds to run', integerBetween(1, 1000), 1)
    .option('--workers <n>', 'approximate number of workers', integerBetween(1, 1000), 24)
    .option('--fault-seconds <n>', 'how long faults are injected', integerBetween(1, 3600), 30)
    .option(
      '--quiet-seconds <n>',
      'how long to check after the last fault',
      integerBetween(MIN_QUIET_SECONDS, 3600),
      MIN_QUIET_SECONDS,
    )
    .allowExcessArguments(false)
    .showHelpAfterError()
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2))
    .parse([...argv], { from: 'user' })
    .opts<SoakOptions>();
}
