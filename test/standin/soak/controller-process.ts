/** A real controller process that runs the build of `deploy/service.toml`. */
import { spawn, type ChildProcess } from 'node:child_process';
import {
  createWriteStream,
  existsSync,
  readFileSync,
  writeFileSync,
  type WriteStream,
} from 'node:fs';
import { createInterface } from 'node:readline';

const SERVICE_FILE = 'deploy/service.toml';

/** The command that starts a controller, without the path of its settings. Throws if the build is missing. */
export function controllerCommand(): readonly string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(SERVICE_FILE, 'utf8'))?.[1];
  if (run === undefined) throw new Error(`${SERVICE_FILE} does not say how to start a controller`);
  const command = run.split(' ');
  const program = command.find((part) => part.startsWith('target/'));
  if (program !== undefined && !existsSync(program)) {
    throw new Error(`${program} is missing: run npm run build first`);
  }
  return command;
}

/** Callbacks for what a process does by itself. */
export interface ProcessObserver {
  /** The process logged an error. */
  onErrorLogged(line: string): void;
  /** The process ended although nobody killed it. */
  onEnded(reason: string): void;
}

/** Starts, pauses and kills the processes of one controller. */
export class ControllerProcess {
  private child: ChildProcess | undefined;
  private readonly log: WriteStream;

  constructor(
    private readonly command: readonly string[],
    private readonly settingsPath: string,
    settings: object,
    logPath: string,
    private readonly observer: ProcessObserver,
  ) {
    writeFileSync(settingsPath, JSON.stringify(settings));
    this.log = createWriteStream(logPath, { flags: 'a' });
  }

  /** The running process; a different object after each start. */
  get process(): object | undefined {
    return this.child;
  }

  /** Starts a process unless one is running. */
  start(): void {
    if (this.child) return;
    const [program = 'node', ...args] = this.command;
    const child = spawn(program, [...args, this.settingsPath], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.child = child;
    createInterface(child.stderr).on('line', (line) => this.record(line));
    child.on('exit', (code, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.observer.onEnded(`status ${code ?? 'none'}, signal ${signal ?? 'none'}`);
    });
  }

  /** Kills the process without warning. */
  kill(): void {
    const { child } = this;
    this.child = undefined;
    child?.kill('SIGKILL');
  }

  /** Kills the process for good and closes its log. */
  close(): void {
    this.kill();
    this.log.end();
  }

  /** Pauses the process, or lets it go on. */
  setPaused(isPaused: boolean): void {
    this.child?.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
  }

  private record(line: string): void {
    if (!this.log.writableEnded) this.log.write(`${line}\n`);
    if (line.includes('"level":"error"')) this.observer.onErrorLogged(line);
  }
}
