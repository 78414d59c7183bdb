/**
 * Serves the administration API, the health checks and the metrics on a separate listening address.
 * Operators authenticate with their team's token or, before a configuration exists, with the bootstrap
 * token; health checks and metrics need none.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Effect } from 'effect';
import type { ServerView, VmView } from '../coordination/fleetView.js';
import { LogPrefix, LogLevel } from '../coordination/events.js';
import {
  addKey,
  ADMIN_PATHS,
  decodeEditMessage,
  decodeKeyMessage,
  encodeErrors,
  type EditMessage,
  type KeyMessage,
  KEYS_SECTION,
  removeKey,
} from '../protocol/adminMessages.js';
import type { BurnReport } from '../protocol/burnMessages.js';
import { createKey, hashSha256, parseSections } from '../protocol/documentText.js';
import { getStatus } from '../protocol/statusCodes.js';
import type { Configuration } from '../state/configuration.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { ALL_SECTIONS, type Head, type OperatorTeam, type Section } from '../state/types.js';
import { readBody } from './requestBody.js';
import { getKeyDigest } from './callerServer.js';
import type { ConfigurationSource } from './configurationSource.js';
import type { Editor } from './editor.js';
import type { WriteLog } from './logger.js';
import type { Metrics } from './metrics.js';

const MAX_ADMIN_BODY_BYTES = 8_388_608;
const BOOTSTRAP_TEAM_NAME = '(bootstrap)';

/** The dependencies of the administration server. */
export interface AdminContext {
  readonly source: ConfigurationSource;
  readonly editor: Editor;
  readonly metrics: Metrics;
  readonly getConfiguration: () => Configuration | null;
  readonly describeVms: () => VmView[];
  readonly describeServers: () => ServerView[];
  readonly collectBurnReport: Effect.Effect<BurnReport>;
  readonly isReady: () => boolean;
  readonly bootstrapToken: string;
  readonly writeLog: WriteLog;
}

interface AdminResponse {
  readonly status: number;
  readonly text: string;
  readonly contentType?: string;
}

/** One authenticated call: the team that makes it and the request body. */
interface OperatorCall {
  readonly context: AdminContext;
  readonly team: OperatorTeam;
  readonly body: string;
}

type Failures = readonly Diagnostic[];
type OperatorHandler = (call: OperatorCall) => Effect.Effect<AdminResponse, Failures>;
type PublicHandler = (context: AdminContext) => AdminResponse;

function createJsonResponse(value: unknown, status = 200): AdminResponse {
  return { status, text: JSON.stringify(value) };
}

function createErrorResponse(errors: Failures): AdminResponse {
  const [first] = errors;
  return { status: first === undefined ? 500 : getStatus(first), text: encodeErrors(errors) };
}

function createDocumentResponse({ source }: AdminContext): AdminResponse {
  const current = source.getCurrent();
  if (current === null) {
    return createErrorResponse([createDiagnostic(Diagnostics.NotConfigured)]);
  }
  const { head, texts } = current;
  const sections = Object.fromEntries(
    ALL_SECTIONS.map((section) => [
      section,
      { hash: head.sections[section], text: texts[section] },
    ]),
  );
  return createJsonResponse({ revision: head.revision, sections });
}

function findForbiddenSections(team: OperatorTeam, sections: readonly Section[]): Diagnostic[] {
  return sections
    .filter((section) => !team.sections.includes(section))
    .map((section) => createDiagnostic(Diagnostics.SectionForbidden, team.name, section));
}

function toFailures(diagnostic: Diagnostic): Failures {
  return [diagnostic];
}

function eitherToEffect<T>(either: {
  caseOf: <R>(cases: { Left: (l: Diagnostic) => R; Right: (r: T) => R }) => R;
}): Effect.Effect<T, Failures> {
  return either.caseOf<Effect.Effect<T, Failures>>({
    Left: (diagnostic) => Effect.fail(toFailures(diagnostic)),
    Right: (value) => Effect.succeed(value),
  });
}

function logAcceptedEdit({ context, team }: OperatorCall, head: Head): void {
  const fields = { revision: head.revision, team: team.name };
  context.writeLog(LogLevel.Info, LogPrefix.Admin, 'Accepted a configuration edit.', fields);
}

function applyEdit(call: OperatorCall, message: EditMessage): Effect.Effect<Head, Failures> {
  const { context, team } = call;
  const edited = ALL_SECTIONS.filter((section) => message.sections[section] !== undefined);
  const forbidden = findForbiddenSections(team, edited);
  if (forbidden.length > 0) {
    return Effect.fail(forbidden);
  }
  const request = { ...message, team: team.name };
  return Effect.tap(context.editor.apply(request), (head) =>
    Effect.sync(() => logAcceptedEdit(call, head)),
  );
}

const handleEdit: OperatorHandler = (call) =>
  eitherToEffect(decodeEditMessage(call.body)).pipe(
    Effect.flatMap((message) => applyEdit(call, message)),
    Effect.map((head) => createJsonResponse({ revision: head.revision })),
  );

/** Validates the document that an edit would result in, including the unchanged sections. */
const handleValidate: OperatorHandler = ({ body, context }) =>
  eitherToEffect(decodeEditMessage(body)).pipe(
    Effect.flatMap((message) => {
      const texts = { operators: '', vms: '', models: '', workspaces: '' };
      const current = context.source.getCurrent()?.texts ?? texts;
      const edited = ALL_SECTIONS.map((section) => [
        section,
        message.sections[section]?.text ?? current[section],
      ]);
      return parseSections(Object.fromEntries(edited) as typeof texts).caseOf<
        Effect.Effect<AdminResponse, Failures>
      >({
        Left: (errors) => Effect.fail(errors),
        Right: () => Effect.succeed(createJsonResponse({ valid: true })),
      });
    }),
  );

function editKeys(
  call: OperatorCall,
  message: KeyMessage,
  note: string,
  change: (text: string) => { readonly text: string } | Diagnostic,
): Effect.Effect<Head, Failures> {
  const current = call.context.source.getCurrent();
  if (current === null) {
    return Effect.fail([createDiagnostic(Diagnostics.NotConfigured)]);
  }
  const changed = change(current.texts[KEYS_SECTION]);
  if (!('text' in changed)) {
    return Effect.fail([changed]);
  }
  const baseHash = current.head.sections[KEYS_SECTION];
  const sections = { [KEYS_SECTION]: { text: changed.text, baseHash } };
  return applyEdit(call, { editId: message.editId, note, sections });
}

const handleIssueKey: OperatorHandler = (call) =>
  eitherToEffect(decodeKeyMessage(call.body)).pipe(
    Effect.flatMap((message) => {
      const { keyId, workspace } = message;
      const key = createKey();
      const entry = { id: keyId, sha256: hashSha256(key) };
      return editKeys(call, message, `issue key ${workspace}/${keyId}`, (text) =>
        addKey(text, workspace, entry),
      ).pipe(Effect.map((head) => createJsonResponse({ revision: head.revision, key })));
    }),
  );

const handleWithdrawKey: OperatorHandler = (call) =>
  eitherToEffect(decodeKeyMessage(call.body)).pipe(
    Effect.flatMap((message) => {
      const { keyId, workspace } = message;
      return editKeys(call, message, `withdraw key ${workspace}/${keyId}`, (text) =>
        removeKey(text, workspace, keyId),
      );
    }),
    Effect.map((head) => createJsonResponse({ revision: head.revision })),
  );

const OPERATOR_HANDLERS: Readonly<Record<string, OperatorHandler>> = {
  [`GET ${ADMIN_PATHS.Document}`]: ({ context }) => Effect.succeed(createDocumentResponse(context)),
  [`POST ${ADMIN_PATHS.Validate}`]: handleValidate,
  [`POST ${ADMIN_PATHS.Edits}`]: handleEdit,
  [`POST ${ADMIN_PATHS.Keys}`]: handleIssueKey,
  [`DELETE ${ADMIN_PATHS.Keys}`]: handleWithdrawKey,
  [`GET ${ADMIN_PATHS.History}`]: ({ context }) =>
    Effect.succeed(
      createJsonResponse({ edits: context.source.getCurrent()?.head.recentEdits ?? [] }),
    ),
  [`GET ${ADMIN_PATHS.Burn}`]: ({ context }) =>
    Effect.map(context.collectBurnReport, (report) => createJsonResponse(report)),
  [`GET ${ADMIN_PATHS.Vms}`]: ({ context }) =>
    Effect.succeed(createJsonResponse({ vms: context.describeVms() })),
  [`GET ${ADMIN_PATHS.Servers}`]: ({ context }) =>
    Effect.succeed(createJsonResponse({ servers: context.describeServers() })),
};

const PUBLIC_HANDLERS: Readonly<Record<string, PublicHandler>> = {
  [`GET ${ADMIN_PATHS.Health}`]: () => createJsonResponse({ alive: true }),
  [`GET ${ADMIN_PATHS.Ready}`]: (context) => {
    const ready = context.isReady();
    return createJsonResponse({ ready }, ready ? 200 : 503);
  },
  [`GET ${ADMIN_PATHS.Metrics}`]: ({ metrics }) => ({
    status: 200,
    text: metrics.formatPrometheus(),
    contentType: 'text/plain; version=0.0.4',
  }),
};

function authenticateTeam(context: AdminContext, request: IncomingMessage): OperatorTeam | null {
  const digest = getKeyDigest(request);
  if (digest === null) {
    return null;
  }
  const configuration = context.getConfiguration();
  if (configuration !== null) {
    return configuration.teamsByTokenDigest.get(digest) ?? null;
  }
  const { bootstrapToken } = context;
  const isBootstrap = bootstrapToken !== '' && digest === hashSha256(bootstrapToken);
  return isBootstrap
    ? { name: BOOTSTRAP_TEAM_NAME, tokenSha256: digest, sections: ALL_SECTIONS }
    : null;
}

function sendResponse(response: ServerResponse, content: AdminResponse): void {
  const { contentType = 'application/json', status, text } = content;
  response.writeHead(status, { 'content-type': contentType });
  response.end(text);
}

async function handleOperatorCall(
  context: AdminContext,
  handler: OperatorHandler,
  request: IncomingMessage,
): Promise<AdminResponse> {
  const team = authenticateTeam(context, request);
  if (team === null) {
    return createErrorResponse([createDiagnostic(Diagnostics.UnknownOperator)]);
  }
  const body = await readBody(request, MAX_ADMIN_BODY_BYTES);
  return body.caseOf({
    Left: (diagnostic) => Promise.resolve(createErrorResponse([diagnostic])),
    Right: (buffer) =>
      Effect.runPromise(
        Effect.match(handler({ context, team, body: buffer.toString() }), {
          onFailure: createErrorResponse,
          onSuccess: (content) => content,
        }),
      ),
  });
}

/** Creates the administration server. The caller must start listening. */
export function createAdminServer(context: AdminContext): Server {
  return http.createServer((request, response) => {
    const [path = '/'] = (request.url ?? '/').split('?');
    const routeKey = `${request.method} ${path}`;
    const publicHandler = PUBLIC_HANDLERS[routeKey];
    if (publicHandler !== undefined) {
      sendResponse(response, publicHandler(context));
      return;
    }
    const handler = OPERATOR_HANDLERS[routeKey];
    if (handler === undefined) {
      const { method = 'GET' } = request;
      sendResponse(
        response,
        createErrorResponse([createDiagnostic(Diagnostics.UnknownRoute, method, path)]),
      );
      return;
    }
    void handleOperatorCall(context, handler, request).then(
      (content) => sendResponse(response, content),
      () =>
        sendResponse(response, createErrorResponse([createDiagnostic(Diagnostics.InternalError)])),
    );
  });
}
