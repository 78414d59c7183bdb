/**
 * The configuration in force on this VM, with the indexes that requests are looked up by.
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

/** Built once for each revision; never changed. */
export interface Configuration {
  readonly head: Head;
  readonly document: Document;
  readonly workspacesByKeyDigest: ReadonlyMap<string, Workspace>;
  readonly workspacesByName: ReadonlyMap<string, Workspace>;
  readonly modelsByName: ReadonlyMap<string, Model>;
  readonly serversByName: ReadonlyMap<string, BackendServer>;
  readonly domainsByName: ReadonlyMap<string, FailureDomain>;
  readonly teamsByTokenDigest: ReadonlyMap<string, OperatorTeam>;
  /** Longest prefix first. */
  readonly routes: readonly Route[];
}

function indexByName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

/** Builds the indexes of a checked document. */
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

function hasPrefix(path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Finds the route with the longest prefix of the path. */
export function findRoute(configuration: Configuration, path: string): Route | undefined {
  return configuration.routes.find((route) => hasPrefix(path, route.pathPrefix));
}

/** Tells whether a list of allowed names has the name or the wildcard. */
export function isAllowed(allowed: readonly string[], name: string): boolean {
  return allowed.includes('*') || allowed.includes(name);
}

/** The name under which a backend server reports a loaded model. */
export function getModelTag(model: Model): string {
  return `${model.name}@${model.version}`;
}
