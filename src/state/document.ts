/**
 * Decodes and validates the operators' document. Reports all errors that it finds together, each with its path in
 * the document.
 */
import { Result, Schema, SchemaIssue } from 'effect';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnosticAt, type Diagnostic, Diagnostics } from './diagnostics.js';
import { ALL_SECTIONS, BackendKind, type Document, type Model, type Section } from './types.js';

const MAX_NAME_LENGTH = 128;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const ADDRESS_PATTERN = /^[^\s:]+:\d{1,5}$/;
const PATH_PATTERN = /^\/[^\s?#]*$/;
/** Prefixes of the paths that the daemon serves itself; no path prefix of a route may start with one. */
const RESERVED_PREFIXES = ['/v1/', '/healthz', '/readyz'];

const NameSchema = Schema.String.check(
  Schema.isMaxLength(MAX_NAME_LENGTH),
  Schema.isPattern(NAME_PATTERN),
);
const DigestSchema = Schema.String.check(Schema.isPattern(DIGEST_PATTERN));
const PositiveNumberSchema = Schema.Number.check(Schema.isFinite(), Schema.isGreaterThan(0));
const CountSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThanOrEqualTo(0));
const PositiveIntegerSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThan(0));

const TeamSchema = Schema.Struct({
  name: NameSchema,
  tokenSha256: DigestSchema,
  sections: Schema.Array(Schema.Literals(ALL_SECTIONS)),
});

const FailureDomainSchema = Schema.Struct({
  name: NameSchema,
  share: PositiveNumberSchema,
});

const BackendServerSchema = Schema.Struct({
  name: NameSchema,
  kind: Schema.Literals(Object.values(BackendKind)),
  failureDomain: NameSchema,
  address: Schema.String.check(Schema.isPattern(ADDRESS_PATTERN)),
  memoryMb: CountSchema,
  maxConcurrentRequests: PositiveIntegerSchema,
  checksFencing: Schema.Boolean,
  leaving: Schema.Boolean,
});

const ModelSchema = Schema.Struct({
  name: NameSchema,
  version: NameSchema,
  memoryMb: PositiveIntegerSchema,
  baseModel: Schema.optionalKey(NameSchema),
});

const RouteSchema = Schema.Struct({
  name: NameSchema,
  pathPrefix: Schema.String.check(Schema.isPattern(PATH_PATTERN)),
  methods: Schema.NonEmptyArray(Schema.Literals(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])),
  backendServers: Schema.NonEmptyArray(NameSchema),
  idempotent: Schema.Boolean,
  open: Schema.Boolean,
  costTokens: CountSchema,
});

const KeySchema = Schema.Struct({ id: NameSchema, sha256: DigestSchema });

const ObjectiveSchema = Schema.Struct({
  firstTokenMs: PositiveNumberSchema,
  tokenGapMs: PositiveNumberSchema,
  goodPart: Schema.Number.check(Schema.isGreaterThan(0), Schema.isLessThan(1)),
});

const AllowedNamesSchema = Schema.Array(Schema.Union([Schema.Literal('*'), NameSchema]));

const WorkspaceSchema = Schema.Struct({
  name: NameSchema,
  rateTokensPerSecond: PositiveNumberSchema,
  burstTokens: PositiveIntegerSchema,
  weight: PositiveNumberSchema,
  models: AllowedNamesSchema,
  routes: AllowedNamesSchema,
  keys: Schema.Array(KeySchema),
  objective: Schema.optionalKey(ObjectiveSchema),
});

const DocumentSchema = Schema.Struct({
  operators: Schema.Struct({ teams: Schema.Array(TeamSchema) }),
  vms: Schema.Struct({
    failureDomains: Schema.NonEmptyArray(FailureDomainSchema),
    backendServers: Schema.Array(BackendServerSchema),
    weightStore: Schema.optionalKey(
      Schema.Struct({ loadsPerSecond: PositiveNumberSchema, loadsAtOnce: PositiveIntegerSchema }),
    ),
  }),
  models: Schema.Struct({
    models: Schema.Array(ModelSchema),
    routes: Schema.Array(RouteSchema),
  }),
  workspaces: Schema.Struct({ workspaces: Schema.Array(WorkspaceSchema) }),
});

const decodeShape = Schema.decodeUnknownResult(DocumentSchema, {
  errors: 'all',
  onExcessProperty: 'error',
});
const formatIssues = SchemaIssue.makeFormatterStandardSchemaV1();

/** Formats a path in the document, such as `vms.backendServers[0].name`. */
function formatPath(path: readonly unknown[]): string {
  return path.reduce<string>((formatted, segment) => {
    if (typeof segment === 'number') {
      return `${formatted}[${segment}]`;
    }
    return formatted === '' ? String(segment) : `${formatted}.${String(segment)}`;
  }, '');
}

/** Returns the key of a path segment of a standard schema issue; the key may be wrapped in an object. */
function getPathKey(segment: unknown): unknown {
  return typeof segment === 'object' && segment !== null && 'key' in segment
    ? segment.key
    : segment;
}

function decodeDocument(value: unknown): Either<Diagnostic[], Document> {
  const result = decodeShape(value);
  if (Result.isSuccess(result)) {
    return Right(result.success);
  }
  const { issues } = formatIssues(result.failure.issue);
  return Left(
    issues.map((issue) =>
      createDiagnosticAt(
        formatPath((issue.path ?? []).map(getPathKey)),
        Diagnostics.InvalidDocument,
        issue.message,
      ),
    ),
  );
}

interface NamedItem {
  readonly name: string;
}

/** Returns an error for each item whose name an earlier item has. */
function findDuplicates(path: string, items: readonly NamedItem[]): Diagnostic[] {
  const seenNames = new Set<string>();
  return items.flatMap(({ name }, i) => {
    if (!seenNames.has(name)) {
      seenNames.add(name);
      return [];
    }
    return [createDiagnosticAt(`${path}[${i}].name`, Diagnostics.DuplicateName, name)];
  });
}

/** Returns an error for each name that is neither known nor the wildcard `*`. */
function findUnknownReferences(
  path: string,
  names: readonly string[],
  knownNames: ReadonlySet<string>,
  referenceKind: string,
): Diagnostic[] {
  return names.flatMap((name, i) =>
    name === '*' || knownNames.has(name)
      ? []
      : [createDiagnosticAt(`${path}[${i}]`, Diagnostics.UnknownReference, name, referenceKind)],
  );
}

function getNames(items: readonly NamedItem[]): ReadonlySet<string> {
  return new Set(items.map((item) => item.name));
}

function checkBackendServers({ vms }: Document): Diagnostic[] {
  const domainNames = getNames(vms.failureDomains);
  return vms.backendServers.flatMap((server, i) =>
    domainNames.has(server.failureDomain)
      ? []
      : [
          createDiagnosticAt(
            `vms.backendServers[${i}].failureDomain`,
            Diagnostics.UnknownReference,
            server.failureDomain,
            'failure domain',
          ),
        ],
  );
}

/** Returns whether the base model of an adapter exists and is not an adapter itself. */
function hasValidBaseModel(model: Model, byName: ReadonlyMap<string, Model>): boolean {
  const base = model.baseModel === undefined ? undefined : byName.get(model.baseModel);
  return base !== undefined && base.baseModel === undefined;
}

function checkModels({ models }: Document): Diagnostic[] {
  const byName = new Map(models.models.map((model) => [model.name, model]));
  return models.models.flatMap((model, i) =>
    model.baseModel === undefined || hasValidBaseModel(model, byName)
      ? []
      : [
          createDiagnosticAt(
            `models.models[${i}].baseModel`,
            Diagnostics.UnknownReference,
            model.baseModel,
            'base model',
          ),
        ],
  );
}

function checkRoutes({ models, vms }: Document): Diagnostic[] {
  const serviceNames = new Set(
    vms.backendServers
      .filter((server) => server.kind === BackendKind.Service)
      .map((server) => server.name),
  );
  return models.routes.flatMap((route, i) => [
    ...findUnknownReferences(
      `models.routes[${i}].backendServers`,
      route.backendServers,
      serviceNames,
      'backend server of kind "service"',
    ),
    ...RESERVED_PREFIXES.filter((prefix) => route.pathPrefix.startsWith(prefix)).map((prefix) =>
      createDiagnosticAt(
        `models.routes[${i}].pathPrefix`,
        Diagnostics.InvalidDocument,
        `Paths under ${prefix} are reserved for the daemon`,
      ),
    ),
  ]);
}

function checkWorkspaces({ models, workspaces }: Document): Diagnostic[] {
  const modelNames = getNames(models.models);
  const routeNames = getNames(models.routes);
  return workspaces.workspaces.flatMap((workspace, i) => {
    const path = `workspaces.workspaces[${i}]`;
    return [
      ...findUnknownReferences(`${path}.models`, workspace.models, modelNames, 'model'),
      ...findUnknownReferences(`${path}.routes`, workspace.routes, routeNames, 'route'),
    ];
  });
}

/** Returns an error for each repeated key digest, because a key must identify exactly one workspace. */
function checkKeys({ workspaces }: Document): Diagnostic[] {
  const keyIdsByDigest = new Map<string, string>();
  return workspaces.workspaces.flatMap((workspace, i) =>
    workspace.keys.flatMap((key, j) => {
      if (!keyIdsByDigest.has(key.sha256)) {
        keyIdsByDigest.set(key.sha256, key.id);
        return [];
      }
      const path = `workspaces.workspaces[${i}].keys[${j}].sha256`;
      return [createDiagnosticAt(path, Diagnostics.DuplicateName, key.id)];
    }),
  );
}

const DOCUMENT_CHECKS: readonly ((document: Document) => Diagnostic[])[] = [
  (document) => findDuplicates('operators.teams', document.operators.teams),
  (document) => findDuplicates('vms.failureDomains', document.vms.failureDomains),
  (document) => findDuplicates('vms.backendServers', document.vms.backendServers),
  (document) => findDuplicates('models.models', document.models.models),
  (document) => findDuplicates('models.routes', document.models.routes),
  (document) => findDuplicates('workspaces.workspaces', document.workspaces.workspaces),
  checkBackendServers,
  checkModels,
  checkRoutes,
  checkWorkspaces,
  checkKeys,
];

/**
 * Decodes the document, then checks that its names and key digests are unique and its references resolve.
 *
 * @returns the document, or all errors that were found.
 */
export function parseDocument(value: unknown): Either<Diagnostic[], Document> {
  return decodeDocument(value).chain((document) => {
    const errors = DOCUMENT_CHECKS.flatMap((check) => check(document));
    return errors.length === 0 ? Right(document) : Left(errors);
  });
}

/** Returns whether a string is the name of a section. */
export function isSection(name: string): name is Section {
  return (ALL_SECTIONS as readonly string[]).includes(name);
}
