/**
 * Decodes and checks the operators' document. Every error is listed at once, each with its path.
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
/** Paths that the daemon serves itself; no route may stand under them. */
const RESERVED_PREFIXES = ['/v1/', '/healthz', '/readyz'];

const NameSchema = Schema.String.check(
  Schema.isMaxLength(MAX_NAME_LENGTH),
  Schema.isPattern(NAME_PATTERN),
);
const DigestSchema = Schema.String.check(Schema.isPattern(DIGEST_PATTERN));
const PositiveSchema = Schema.Number.check(Schema.isFinite(), Schema.isGreaterThan(0));
const CountSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThanOrEqualTo(0));
const PositiveCountSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThan(0));

const TeamSchema = Schema.Struct({
  name: NameSchema,
  tokenSha256: DigestSchema,
  sections: Schema.Array(Schema.Literals(ALL_SECTIONS)),
});

const FailureDomainSchema = Schema.Struct({
  name: NameSchema,
  share: PositiveSchema,
});

const BackendServerSchema = Schema.Struct({
  name: NameSchema,
  kind: Schema.Literals(Object.values(BackendKind)),
  failureDomain: NameSchema,
  address: Schema.String.check(Schema.isPattern(ADDRESS_PATTERN)),
  memoryMb: CountSchema,
  maxConcurrentRequests: PositiveCountSchema,
  checksFencing: Schema.Boolean,
  leaving: Schema.Boolean,
});

const ModelSchema = Schema.Struct({
  name: NameSchema,
  version: NameSchema,
  memoryMb: PositiveCountSchema,
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
  firstTokenMs: PositiveSchema,
  tokenGapMs: PositiveSchema,
  goodPart: Schema.Number.check(Schema.isGreaterThan(0), Schema.isLessThan(1)),
});

const AllowedSchema = Schema.Array(Schema.Union([Schema.Literal('*'), NameSchema]));

const WorkspaceSchema = Schema.Struct({
  name: NameSchema,
  rateTokensPerSecond: PositiveSchema,
  burstTokens: PositiveCountSchema,
  weight: PositiveSchema,
  models: AllowedSchema,
  routes: AllowedSchema,
  keys: Schema.Array(KeySchema),
  objective: Schema.optionalKey(ObjectiveSchema),
});

const DocumentSchema = Schema.Struct({
  operators: Schema.Struct({ teams: Schema.Array(TeamSchema) }),
  vms: Schema.Struct({
    failureDomains: Schema.NonEmptyArray(FailureDomainSchema),
    backendServers: Schema.Array(BackendServerSchema),
    weightStore: Schema.optionalKey(
      Schema.Struct({ loadsPerSecond: PositiveSchema, loadsAtOnce: PositiveCountSchema }),
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

/** Writes a path such as `vms.backendServers[0].name`. */
function formatPath(path: readonly unknown[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') {
      return `${text}[${part}]`;
    }
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

/** Narrows the path element of a standard schema issue, which may be wrapped in an object. */
function getPathKey(part: unknown): unknown {
  return typeof part === 'object' && part !== null && 'key' in part ? part.key : part;
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

interface Named {
  readonly name: string;
}

function findDuplicates(path: string, items: readonly Named[]): Diagnostic[] {
  const seen = new Set<string>();
  return items.flatMap(({ name }, i) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [createDiagnosticAt(`${path}[${i}].name`, Diagnostics.DuplicateName, name)];
  });
}

function findUnknown(
  path: string,
  names: readonly string[],
  known: ReadonlySet<string>,
  noun: string,
): Diagnostic[] {
  return names.flatMap((name, i) =>
    name === '*' || known.has(name)
      ? []
      : [createDiagnosticAt(`${path}[${i}]`, Diagnostics.UnknownReference, name, noun)],
  );
}

function getNames(items: readonly Named[]): ReadonlySet<string> {
  return new Set(items.map((item) => item.name));
}

function checkBackendServers({ vms }: Document): Diagnostic[] {
  const domains = getNames(vms.failureDomains);
  return vms.backendServers.flatMap((server, i) =>
    domains.has(server.failureDomain)
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

function isKnownBase(model: Model, byName: ReadonlyMap<string, Model>): boolean {
  const base = model.baseModel === undefined ? undefined : byName.get(model.baseModel);
  return base !== undefined && base.baseModel === undefined;
}

function checkModels({ models }: Document): Diagnostic[] {
  const byName = new Map(models.models.map((model) => [model.name, model]));
  return models.models.flatMap((model, i) =>
    model.baseModel === undefined || isKnownBase(model, byName)
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
  const services = new Set(
    vms.backendServers.filter((s) => s.kind === BackendKind.Service).map((s) => s.name),
  );
  return models.routes.flatMap((route, i) => [
    ...findUnknown(
      `models.routes[${i}].backendServers`,
      route.backendServers,
      services,
      'plain service',
    ),
    ...RESERVED_PREFIXES.filter((prefix) => route.pathPrefix.startsWith(prefix)).map((prefix) =>
      createDiagnosticAt(
        `models.routes[${i}].pathPrefix`,
        Diagnostics.InvalidDocument,
        `Paths under ${prefix} are taken by the daemon`,
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
      ...findUnknown(`${path}.models`, workspace.models, modelNames, 'model'),
      ...findUnknown(`${path}.routes`, workspace.routes, routeNames, 'route'),
    ];
  });
}

/** One key opens one workspace, so no digest may stand twice. */
function checkKeys({ workspaces }: Document): Diagnostic[] {
  const owners = new Map<string, string>();
  return workspaces.workspaces.flatMap((workspace, i) =>
    workspace.keys.flatMap((key, j) => {
      if (!owners.has(key.sha256)) {
        owners.set(key.sha256, key.id);
        return [];
      }
      const path = `workspaces.workspaces[${i}].keys[${j}].sha256`;
      return [createDiagnosticAt(path, Diagnostics.DuplicateName, key.id)];
    }),
  );
}

const CHECKS: readonly ((document: Document) => Diagnostic[])[] = [
  (d) => findDuplicates('operators.teams', d.operators.teams),
  (d) => findDuplicates('vms.failureDomains', d.vms.failureDomains),
  (d) => findDuplicates('vms.backendServers', d.vms.backendServers),
  (d) => findDuplicates('models.models', d.models.models),
  (d) => findDuplicates('models.routes', d.models.routes),
  (d) => findDuplicates('workspaces.workspaces', d.workspaces.workspaces),
  checkBackendServers,
  checkModels,
  checkRoutes,
  checkWorkspaces,
  checkKeys,
];

/**
 * Decodes the document and checks each reference between its sections.
 *
 * @returns the document, or every error that was found.
 */
export function parseDocument(value: unknown): Either<Diagnostic[], Document> {
  return decodeDocument(value).chain((document) => {
    const errors = CHECKS.flatMap((check) => check(document));
    return errors.length === 0 ? Right(document) : Left(errors);
  });
}

/** Tells whether a text names a section. */
export function isSection(name: string): name is Section {
  return (ALL_SECTIONS as readonly string[]).includes(name);
}
