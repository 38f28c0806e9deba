/** The HTTP handlers of a leader whose term is a stub, so that a test decides when and with what the term responds. */
import { pino } from 'pino';
import { LeaderView } from '../../src/api/leader-view.js';
import { UserRequestHandler } from '../../src/api/user-request-handler.js';
import { WorkerHeartbeatHandler } from '../../src/api/worker-heartbeat-handler.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import { AdmissionControl } from '../../src/ledger/admission-control.js';
import type { JobRecords } from '../../src/ledger/job-records.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import type { JobLookupResult } from '../../src/leader/job-requests.js';
import { ReadLeases } from '../../src/leader/read-leases.js';
import type { Term } from '../../src/leader/term.js';
import type { Peer } from '../../src/peer/peer.js';
import type { Reachability } from '../../src/peer/reachability.js';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.js';
import { Epoch, JobId, ControllerId, SteadyMs } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { machineTypes } from '../standin/machine-types.js';
import { settingsFile } from './settings-file.js';

/** The id of the job to which test requests refer. */
export const JOB_ID = JobId('run-000001');
/** The epoch of the leader's term. */
export const EPOCH = Epoch(7);

/**
 * Creates the handlers of user requests and heartbeats on a controller that leads until `loseAuthority` is called.
 * Its term resolves each request for a job with `lookupResult` once `resolveLookup` is called.
 */
export function createLeaderRequestHandlers(lookupResult: JobLookupResult) {
  const settings = parseSettings(settingsFile(0));
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const jobRecords = {} as JobRecords;
  let epoch: Epoch | undefined = EPOCH;
  let resolveLookup = (): void => undefined;
  const lookUpLater = (): Promise<JobLookupResult> =>
    new Promise((resolve) => (resolveLookup = () => resolve(lookupResult)));
  const term = {
    epoch,
    highestFencingToken: EPOCH,
    startedAt: SteadyMs(-10_000),
    isClosed: false,
    isReady: true,
    isRedirectingWorkers: false,
    findJob: lookUpLater,
    cancelJob: lookUpLater,
    submitJob: lookUpLater,
    handleHeartbeat: () => ({ fencingToken: EPOCH, commands: [] }),
    handleRelayedHeartbeat: () => ({
      response: { fencingToken: EPOCH, commands: [] },
      baseline: 1,
    }),
    recordFencingTokenSent: () => undefined,
  };
  const peers = new Map<ControllerId, Peer>();
  const catalog = new MachineCatalog();
  catalog.update(machineTypes);
  const leaderView = new LeaderView(
    { authority: () => epoch, leader: () => ControllerId('node-0') },
    peers,
  );
  leaderView.term = term as unknown as Term;
  let reachability: Reachability = 'connected';
  const userRequestHandler = new UserRequestHandler({
    admission: new AdmissionControl(
      catalog,
      settings.teams,
      new RecordLimits(settings.storeLimits),
    ),
    leaderView,
    jobRecords,
    readLeases: new ReadLeases(),
    clock,
    log: pino({ level: 'silent' }),
    reachability: () => reachability,
  });
  const workerHeartbeatHandler = new WorkerHeartbeatHandler({
    controllerId: settings.controllerId,
    leaderView,
    relay: new HeartbeatRelay({
      controllerId: settings.controllerId,
      clock,
      log: pino({ level: 'silent' }),
      leaderPeer: () => leaderView.leaderPeer(),
    }),
    clock,
    isIsolated: () => reachability === 'isolated',
  });
  const loseAuthority = (): void => {
    epoch = undefined;
  };
  const setReachability = (value: Reachability): void => {
    reachability = value;
  };
  return {
    userRequestHandler,
    workerHeartbeatHandler,
    term,
    peers,
    jobRecords,
    time,
    clock,
    loseAuthority,
    setReachability,
    resolveLookup: () => resolveLookup(),
  };
}
