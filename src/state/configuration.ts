/**
 * Defines the configuration that is in force on this VM: the operators' document with the indexes that are used
 * to look up workspaces, models, backend servers and routes.
 */
import type {
  BackendServer,
  Document,
  FailureDomain,
  Head,
  Model,
  OperatorTeam,
  Route,
  Workspace,
} from './types.js';

/** A configuration is created once for each revision and is immutable. */
export interface Configuration {
  readonly head: Head;
  readonly document: Document;
  readonly workspacesByKeyDigest: ReadonlyMap<string, Workspace>;
  readonly workspacesByName: ReadonlyMap<string, Workspace>;
  readonly modelsByName: ReadonlyMap<string, Model>;
  readonly serversByName: ReadonlyMap<string, BackendServer>;
  readonly domainsByName: ReadonlyMap<string, FailureDomain>;
  readonly teamsByTokenDigest: ReadonlyMap<string, OperatorTeam>;
  /** Sorted by the length of the path prefix, longest first. */
  readonly routes: readonly Route[];
}

function indexByName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

/** Creates the configuration of a validated document. */
export function createConfiguration(head: Head, document: Document): Configuration {
  const { workspaces } = document.workspaces;
  return {
    head,
    document,
    workspacesByKeyDigest: new Map(
      workspaces.flatMap((workspace) => workspace.keys.map((key) => [key.sha256, workspace])),
    ),
    workspacesByName: indexByName(workspaces),
    modelsByName: indexByName(document.models.models),
    serversByName: indexByName(document.vms.backendServers),
    domainsByName: indexByName(document.vms.failureDomains),
    teamsByTokenDigest: new Map(document.operators.teams.map((team) => [team.tokenSha256, team])),
    routes: document.models.routes.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  };
}

/** Returns whether a path is the prefix or lies below it; only whole path segments match. */
function isUnderPrefix(path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Returns the route whose path prefix is the longest that matches the path. */
export function findRoute(configuration: Configuration, path: string): Route | undefined {
  return configuration.routes.find((route) => isUnderPrefix(path, route.pathPrefix));
}

/** Returns whether a list of allowed names contains the name or the wildcard `*`. */
export function isAllowed(allowed: readonly string[], name: string): boolean {
  return allowed.includes('*') || allowed.includes(name);
}

/** Returns the tag `name@version` that backend servers report for a loaded model. */
export function getModelTag(model: Model): string {
  return `${model.name}@${model.version}`;
}
