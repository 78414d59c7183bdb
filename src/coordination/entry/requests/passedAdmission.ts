/**
 * Admits requests that other VMs pass to this one. The VM that passes a request has authenticated and charged it, so here it needs
 * neither a key nor tokens; it has to come from a VM that the store lists.
 */
import { type Either, Left, Right } from 'purify-ts';
import {
  type Deployment,
  findForwardRoute,
  type ForwardRoute,
  type ForwardService,
  type ForwardWorkspace,
} from '../../../state/entry/deployment.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { EntryCommand } from '../commands.js';
import type { EntryEventKind, EntryEventOf, ForwardRequest } from '../events.js';
import type { PassedRequest } from '../passedRequest.js';
import { isCutOff } from '../servers/serviceReach.js';
import { EntryLifecycle, type EntryState, type ForwardRecord, isShuttingDown } from '../state.js';
import {
  type Admission,
  checkTimeLeft,
  createForwardRecord,
  openForward,
  refuseUnadmitted,
} from './admission.js';
import { hasServerForStream } from './backendSelection.js';
import { dispatchOrWait } from './forwarding.js';
import { refuseForward } from './requestCompletion.js';

/** Returns why this VM takes no passed requests of another VM now; null if it does. */
function findObstacleToPass(state: EntryState, pass: PassedRequest): Diagnostic | null {
  const { deployment, lifecycle, listedVms } = state;
  const isListed = listedVms.some(
    ({ incarnation, vmId }) => vmId === pass.vmId && incarnation === pass.incarnation,
  );
  if (!isListed) {
    return createDiagnostic(Diagnostics.UnknownPeer, pass.vmId);
  }
  if (isShuttingDown(state)) {
    return createDiagnostic(Diagnostics.Stopping);
  }
  const isConfigured = lifecycle !== EntryLifecycle.Starting && deployment !== null;
  if (!isConfigured || deployment.version < pass.configurationVersion) {
    return createDiagnostic(Diagnostics.NotConfigured);
  }
  return isCutOff(state, pass.service)
    ? createDiagnostic(Diagnostics.ServersUnreachable, pass.service)
    : null;
}

/** Finds the workspace that the other VM names; null if the route or the deployment needs no key. */
function findWorkspace(
  deployment: Deployment,
  route: ForwardRoute,
  { workspace: name }: PassedRequest,
): Either<Diagnostic, ForwardWorkspace | null> {
  if (route.isPublic || !deployment.hasWorkspaces) {
    return Right(null);
  }
  const workspace = name === null ? undefined : deployment.workspacesByName.get(name);
  return workspace === undefined
    ? Left(createDiagnostic(Diagnostics.UnknownKey))
    : Right(workspace);
}

/** Finds the service that the other VM names, which has to be a target of the route. */
function findService(
  deployment: Deployment,
  route: ForwardRoute,
  { service: name }: PassedRequest,
): Either<Diagnostic, ForwardService> {
  const isTarget = route.targets.some(({ service }) => service === name);
  const service = isTarget ? deployment.servicesByName.get(name) : undefined;
  return service === undefined
    ? Left(createDiagnostic(Diagnostics.NoBackendServer, route.name))
    : Right(service);
}

function admitPassed(
  state: EntryState,
  { host, path }: ForwardRequest,
  pass: PassedRequest,
): Either<Diagnostic, Admission> {
  const obstacle = findObstacleToPass(state, pass);
  if (obstacle !== null) {
    return Left(obstacle);
  }
  const deployment = state.deployment!;
  const route = findForwardRoute(deployment, host, path);
  if (route === undefined) {
    return Left(createDiagnostic(Diagnostics.UnknownRoute, host, path));
  }
  return findWorkspace(deployment, route, pass).chain((workspace) =>
    findService(deployment, route, pass).map((service) => ({ route, service, workspace })),
  );
}

/** Dispatches a passed request, or lets it wait for a server. */
function startPassed(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  if (!hasServerForStream(state, record)) {
    const diagnostic = createDiagnostic(Diagnostics.StreamVersionGone, record.streamVersion ?? '');
    return refuseForward(state, record, diagnostic, nowMs);
  }
  return dispatchOrWait(state, record, nowMs);
}

/** Admits a request that another VM passes to this one, or rejects it. */
export function handlePassedRequestArrived(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.PassedRequestArrived>,
  nowMs: number,
): EntryCommand[] {
  const { delayMs, pass, request } = event;
  const admission = admitPassed(state, request, pass).chain((admitted) =>
    checkTimeLeft(request, admitted, delayMs),
  );
  return admission.caseOf<EntryCommand[]>({
    Left: (diagnostic) => refuseUnadmitted(state, request, diagnostic),
    Right: (admitted) => {
      const record = createForwardRecord(request, admitted, delayMs, nowMs, pass);
      return openForward(state, record, nowMs, startPassed);
    },
  });
}
