/**
 * The administration API, health checks and metrics, on an address of their own.
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
import { readBody } from './bodies.js';
import { getKeyDigest } from './callerServer.js';
import type { ConfigurationSource } from './configurationSource.js';
import type { Editor } from './editor.js';
import type { WriteLog } from './logger.js';
import type { Metrics } from './metrics.js';

const MAX_ADMIN_BODY_BYTES = 8_388_608;
const BOOTSTRAP_TEAM = '(bootstrap)';

/** What the server works with. */
export interface AdminContext {
  readonly source: ConfigurationSource;
  readonly editor: Editor;
  readonly metrics: Metrics;
  readonly getConfiguration: () => Configuration | null;
  readonly describeVms: () => VmView[];
  readonly describeServers: () => ServerView[];
  readonly collectBurn: Effect.Effect<BurnReport>;
  readonly isReady: () => boolean;
  readonly bootstrapToken: string;
  readonly writeLog: WriteLog;
}

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly contentType?: string;
}

/** One call: who makes it and what it says. */
interface Call {
  readonly context: AdminContext;
  readonly team: OperatorTeam;
  readonly body: string;
}

type Failures = readonly Diagnostic[];
type OperatorHandler = (call: Call) => Effect.Effect<Answer, Failures>;
type PublicHandler = (context: AdminContext) => Answer;

function answerJson(value: unknown, status = 200): Answer {
  return { status, text: JSON.stringify(value) };
}

function answerErrors(errors: Failures): Answer {
  const [first] = errors;
  return { status: first === undefined ? 500 : getStatus(first), text: encodeErrors(errors) };
}

function describeDocument({ source }: AdminContext): Answer {
  const current = source.getCurrent();
  if (current === null) {
    return answerErrors([createDiagnostic(Diagnostics.NotConfigured)]);
  }
  const { head, texts } = current;
  const sections = Object.fromEntries(
    ALL_SECTIONS.map((section) => [
      section,
      { hash: head.sections[section], text: texts[section] },
    ]),
  );
  return answerJson({ revision: head.revision, sections });
}

function findForbidden(team: OperatorTeam, sections: readonly Section[]): Diagnostic[] {
  return sections
    .filter((section) => !team.sections.includes(section))
    .map((section) => createDiagnostic(Diagnostics.SectionForbidden, team.name, section));
}

function toFailures(diagnostic: Diagnostic): Failures {
  return [diagnostic];
}

function decodeBody<T>(decoded: {
  caseOf: <R>(cases: { Left: (l: Diagnostic) => R; Right: (r: T) => R }) => R;
}): Effect.Effect<T, Failures> {
  return decoded.caseOf<Effect.Effect<T, Failures>>({
    Left: (diagnostic) => Effect.fail(toFailures(diagnostic)),
    Right: (value) => Effect.succeed(value),
  });
}

function noteEdit({ context, team }: Call, head: Head): void {
  const fields = { revision: head.revision, team: team.name };
  context.writeLog(LogLevel.Info, LogPrefix.Admin, 'An edit was accepted.', fields);
}

function applyEdit(call: Call, message: EditMessage): Effect.Effect<Head, Failures> {
  const { context, team } = call;
  const edited = ALL_SECTIONS.filter((section) => message.sections[section] !== undefined);
  const forbidden = findForbidden(team, edited);
  if (forbidden.length > 0) {
    return Effect.fail(forbidden);
  }
  const request = { ...message, team: team.name };
  return Effect.tap(context.editor.apply(request), (head) =>
    Effect.sync(() => noteEdit(call, head)),
  );
}

const handleEdit: OperatorHandler = (call) =>
  decodeBody(decodeEditMessage(call.body)).pipe(
    Effect.flatMap((message) => applyEdit(call, message)),
    Effect.map((head) => answerJson({ revision: head.revision })),
  );

/** Checks an edit together with the sections that it leaves as they are. */
const handleValidate: OperatorHandler = ({ body, context }) =>
  decodeBody(decodeEditMessage(body)).pipe(
    Effect.flatMap((message) => {
      const texts = { operators: '', vms: '', models: '', workspaces: '' };
      const current = context.source.getCurrent()?.texts ?? texts;
      const edited = ALL_SECTIONS.map((section) => [
        section,
        message.sections[section]?.text ?? current[section],
      ]);
      return parseSections(Object.fromEntries(edited) as typeof texts).caseOf<
        Effect.Effect<Answer, Failures>
      >({
        Left: (errors) => Effect.fail(errors),
        Right: () => Effect.succeed(answerJson({ valid: true })),
      });
    }),
  );

function editKeys(
  call: Call,
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
  decodeBody(decodeKeyMessage(call.body)).pipe(
    Effect.flatMap((message) => {
      const { keyId, workspace } = message;
      const key = createKey();
      const entry = { id: keyId, sha256: hashSha256(key) };
      return editKeys(call, message, `issue key ${workspace}/${keyId}`, (text) =>
        addKey(text, workspace, entry),
      ).pipe(Effect.map((head) => answerJson({ revision: head.revision, key })));
    }),
  );

const handleWithdrawKey: OperatorHandler = (call) =>
  decodeBody(decodeKeyMessage(call.body)).pipe(
    Effect.flatMap((message) => {
      const { keyId, workspace } = message;
      return editKeys(call, message, `withdraw key ${workspace}/${keyId}`, (text) =>
        removeKey(text, workspace, keyId),
      );
    }),
    Effect.map((head) => answerJson({ revision: head.revision })),
  );

const OPERATOR_HANDLERS: Readonly<Record<string, OperatorHandler>> = {
  [`GET ${ADMIN_PATHS.Document}`]: ({ context }) => Effect.succeed(describeDocument(context)),
  [`POST ${ADMIN_PATHS.Validate}`]: handleValidate,
  [`POST ${ADMIN_PATHS.Edits}`]: handleEdit,
  [`POST ${ADMIN_PATHS.Keys}`]: handleIssueKey,
  [`DELETE ${ADMIN_PATHS.Keys}`]: handleWithdrawKey,
  [`GET ${ADMIN_PATHS.History}`]: ({ context }) =>
    Effect.succeed(answerJson({ edits: context.source.getCurrent()?.head.recentEdits ?? [] })),
  [`GET ${ADMIN_PATHS.Burn}`]: ({ context }) =>
    Effect.map(context.collectBurn, (report) => answerJson(report)),
  [`GET ${ADMIN_PATHS.Vms}`]: ({ context }) =>
    Effect.succeed(answerJson({ vms: context.describeVms() })),
  [`GET ${ADMIN_PATHS.Servers}`]: ({ context }) =>
    Effect.succeed(answerJson({ servers: context.describeServers() })),
};

const PUBLIC_HANDLERS: Readonly<Record<string, PublicHandler>> = {
  [`GET ${ADMIN_PATHS.Health}`]: () => answerJson({ alive: true }),
  [`GET ${ADMIN_PATHS.Ready}`]: (context) => {
    const ready = context.isReady();
    return answerJson({ ready }, ready ? 200 : 503);
  },
  [`GET ${ADMIN_PATHS.Metrics}`]: ({ metrics }) => ({
    status: 200,
    text: metrics.format(),
    contentType: 'text/plain; version=0.0.4',
  }),
};

function findTeam(context: AdminContext, request: IncomingMessage): OperatorTeam | null {
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
  return isBootstrap ? { name: BOOTSTRAP_TEAM, tokenSha256: digest, sections: ALL_SECTIONS } : null;
}

function send(response: ServerResponse, answer: Answer): void {
  const { contentType = 'application/json', status, text } = answer;
  response.writeHead(status, { 'content-type': contentType });
  response.end(text);
}

async function handleOperatorCall(
  context: AdminContext,
  handler: OperatorHandler,
  request: IncomingMessage,
): Promise<Answer> {
  const team = findTeam(context, request);
  if (team === null) {
    return answerErrors([createDiagnostic(Diagnostics.UnknownOperator)]);
  }
  const body = await readBody(request, MAX_ADMIN_BODY_BYTES);
  return body.caseOf({
    Left: (diagnostic) => Promise.resolve(answerErrors([diagnostic])),
    Right: (buffer) =>
      Effect.runPromise(
        Effect.match(handler({ context, team, body: buffer.toString() }), {
          onFailure: answerErrors,
          onSuccess: (answer) => answer,
        }),
      ),
  });
}

/** Creates the server. It does not listen yet. */
export function createAdminServer(context: AdminContext): Server {
  return http.createServer((request, response) => {
    const [path = '/'] = (request.url ?? '/').split('?');
    const name = `${request.method} ${path}`;
    const publicHandler = PUBLIC_HANDLERS[name];
    if (publicHandler !== undefined) {
      send(response, publicHandler(context));
      return;
    }
    const handler = OPERATOR_HANDLERS[name];
    if (handler === undefined) {
      const { method = 'GET' } = request;
      send(response, answerErrors([createDiagnostic(Diagnostics.UnknownRoute, method, path)]));
      return;
    }
    void handleOperatorCall(context, handler, request).then(
      (answer) => send(response, answer),
      () => send(response, answerErrors([createDiagnostic(Diagnostics.InternalError)])),
    );
  });
}
