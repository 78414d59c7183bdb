/**
 * Decides whether a request may run, for which workspace, and how many tokens it costs. Admission
 * comes before any tokens of the rate limit are reserved.
 */
import { Either, Left, Right } from 'purify-ts';
import { type Configuration, findRoute, isAllowed } from '../state/configuration.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { type RequestInfo, type Target, TargetKind, type Workspace } from '../state/types.js';
import { Lifecycle, type VmState } from './vmState.js';

/** The result of admitting a request. */
export interface Admission {
  /** Null on a route that needs no API key. */
  readonly workspace: Workspace | null;
  readonly targetName: string;
  readonly isIdempotent: boolean;
  readonly costTokens: number;
}

type ModelTarget = Extract<Target, { kind: typeof TargetKind.Model }>;
type RouteTarget = Extract<Target, { kind: typeof TargetKind.Route }>;

/** Returns the workspace that the request's API key belongs to. */
export function findWorkspace(
  configuration: Configuration,
  keyDigest: string | null,
): Either<Diagnostic, Workspace> {
  if (keyDigest === null) {
    return Left(createDiagnostic(Diagnostics.MissingKey));
  }
  const workspace = configuration.workspacesByKeyDigest.get(keyDigest);
  return workspace === undefined
    ? Left(createDiagnostic(Diagnostics.UnknownKey))
    : Right(workspace);
}

function admitToModel(
  configuration: Configuration,
  request: RequestInfo,
  target: ModelTarget,
): Either<Diagnostic, Admission> {
  return findWorkspace(configuration, request.keyDigest).chain((workspace) => {
    const { model } = target;
    if (!configuration.modelsByName.has(model)) {
      return Left(createDiagnostic(Diagnostics.UnknownModel, model));
    }
    if (!isAllowed(workspace.models, model)) {
      return Left(createDiagnostic(Diagnostics.ModelNotAllowed, workspace.name, model));
    }
    const costTokens = target.promptTokens + target.maxTokens;
    if (costTokens > workspace.burstTokens) {
      return Left(createDiagnostic(Diagnostics.RequestTooLarge, costTokens, workspace.burstTokens));
    }
    return Right({ workspace, targetName: model, isIdempotent: true, costTokens });
  });
}

function admitToRoute(
  configuration: Configuration,
  request: RequestInfo,
  target: RouteTarget,
): Either<Diagnostic, Admission> {
  const { method, path } = target;
  const route = findRoute(configuration, path);
  if (route === undefined) {
    return Left(createDiagnostic(Diagnostics.UnknownRoute, method, path));
  }
  if (!route.methods.includes(method)) {
    return Left(createDiagnostic(Diagnostics.MethodNotAllowed, route.name, method));
  }
  const { name: targetName, idempotent: isIdempotent, costTokens } = route;
  if (route.open) {
    return Right({ workspace: null, targetName, isIdempotent, costTokens: 0 });
  }
  return findWorkspace(configuration, request.keyDigest).chain((workspace) =>
    isAllowed(workspace.routes, targetName)
      ? Right({ workspace, targetName, isIdempotent, costTokens })
      : Left(createDiagnostic(Diagnostics.RouteNotAllowed, workspace.name, targetName)),
  );
}

/** Admits or rejects a request by the VM's lifecycle and the request's API key and target. */
export function admitRequest(state: VmState, request: RequestInfo): Either<Diagnostic, Admission> {
  if (state.lifecycle !== Lifecycle.Running && state.lifecycle !== Lifecycle.Unready) {
    return Left(createDiagnostic(Diagnostics.Stopping));
  }
  if (state.configuration === null) {
    return Left(createDiagnostic(Diagnostics.NotConfigured));
  }
  const { target } = request;
  return target.kind === TargetKind.Model
    ? admitToModel(state.configuration, request, target)
    : admitToRoute(state.configuration, request, target);
}
