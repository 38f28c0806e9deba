/**
 * Runs an older, compiled version of the service (commit 9324b84 and before) as a `Build`. Its classes and fields
 * have different names than the current ones; the types below declare those that the simulated cluster needs.
 */
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import type { Logger } from 'pino';
import type { ApiResponse } from '../../src/api/api-response.js';
import type { HttpClient, HttpOutcome, HttpRequest } from '../../src/net/http.js';
import type { Clock, DurationMs, ControllerId, Random } from '../../src/units/index.js';
import type { Build, ControllerEnvironment, PeerConnection, RunningController } from './build.js';

/** Opaque values that only the older version reads. */
type OlderSettings = unknown;
type OlderOperator = unknown;
type OlderMessage = unknown;

type OlderOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'undelivered' | 'unknown'; readonly why: string };

/** A request of the older version, which names the connection pool otherwise. */
type OlderRequest = Omit<HttpRequest, 'pool'> & { readonly lane?: HttpRequest['pool'] };

interface OlderPeer {
  readonly responsive: boolean;
  /** Resolves with undefined if no response arrives before the timeout. */
  ask(request: OlderMessage, timeout: DurationMs): Promise<OlderMessage>;
}

interface OlderWorld {
  readonly clock: Clock;
  readonly random: Random;
  readonly http: { send(request: OlderRequest): Promise<OlderOutcome> };
  readonly log: Logger;
  readonly peers: ReadonlyMap<ControllerId, OlderPeer>;
  readonly run: string;
}

interface OlderController {
  readonly users: { handle(method: string, path: string, body: Buffer): Promise<ApiResponse> };
  readonly workers: { handle(body: Buffer): Promise<ApiResponse> };
  readonly peers: { handle(request: OlderMessage): Promise<OlderMessage> };
  readonly election: { authority(): number | undefined };
  health(): ApiResponse;
  start(): void;
  stop(): void;
}

interface OlderModules {
  readonly node: {
    readonly Controller: new (
      settings: OlderSettings,
      operator: OlderOperator,
      world: OlderWorld,
    ) => OlderController;
  };
  readonly settings: { parseSettings(file: unknown): OlderSettings };
  readonly operator: { readonly defaultOperator: OlderOperator };
  readonly messages: {
    encodeRequest(id: number, request: OlderMessage): Buffer;
    decodeRequest(frame: Buffer): { readonly id: number; readonly message: OlderMessage };
    encodeResponse(id: number, response: OlderMessage): Buffer;
    decodeResponse(frame: Buffer): { readonly message: OlderMessage };
  };
}

const REQUEST_ID = 1;

const olderOutcome = (outcome: HttpOutcome): OlderOutcome =>
  outcome.kind === 'response'
    ? { kind: 'answer', status: outcome.status, body: outcome.body }
    : { kind: outcome.kind, why: outcome.reason };

const olderHttp = (http: HttpClient): OlderWorld['http'] => ({
  send: async ({ lane, ...request }) =>
    olderOutcome(await http.send({ ...request, ...(lane && { pool: lane }) })),
});

const olderPeer = (connection: PeerConnection, messages: OlderModules['messages']): OlderPeer => ({
  get responsive() {
    return connection.isResponsive;
  },
  ask: (request, timeout) =>
    connection.exchange(
      messages.encodeRequest(REQUEST_ID, request),
      timeout,
      (frame) => messages.decodeResponse(frame).message,
    ),
});

function createController(
  { node, settings, operator, messages }: OlderModules,
  settingsFile: unknown,
  host: ControllerEnvironment,
): RunningController {
  const controller = new node.Controller(
    settings.parseSettings(settingsFile),
    operator.defaultOperator,
    {
      clock: host.clock,
      random: host.random,
      http: olderHttp(host.http),
      log: host.log,
      peers: new Map([...host.peers].map(([name, peer]) => [name, olderPeer(peer, messages)])),
      run: host.processId,
    },
  );
  return {
    start: () => controller.start(),
    stop: () => controller.stop(),
    health: () => controller.health(),
    isLeader: () => controller.election.authority() !== undefined,
    handleUserRequest: (method, path, body) => controller.users.handle(method, path, body),
    handleHeartbeat: (body) => controller.workers.handle(body),
    handlePeerFrame: async (frame) => {
      const { id, message } = messages.decodeRequest(frame);
      const response = await controller.peers.handle(message);
      return { status: 200, body: messages.encodeResponse(id, response) };
    },
  };
}

/** Loads the older version from the folder of its compiled modules. Rejects if a module is missing there. */
export async function loadOlderBuild(folder: string): Promise<Build> {
  const load = async <Module>(path: string): Promise<Module> =>
    (await import(pathToFileURL(resolve(folder, path)).href)) as Module;
  const [node, settings, operator, messages] = await Promise.all([
    load<OlderModules['node']>('node.js'),
    load<OlderModules['settings']>('config/settings.js'),
    load<OlderModules['operator']>('config/operator.js'),
    load<OlderModules['messages']>('peer/messages.js'),
  ]);
  const modules = { node, settings, operator, messages };
  return {
    createController: (settingsFile, host) => createController(modules, settingsFile, host),
  };
}
