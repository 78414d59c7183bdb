/**
 * Defines the messages of the administration API, which the daemon and the command-line tool share, and edits the keys
 * of workspaces in a section's text.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import { parseDocument as parseYamlDocument } from 'yaml';
import { createDiagnosticAt, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { ALL_SECTIONS, type Section, type WorkspaceKey } from '../state/types.js';
import { decodeJson } from './json.js';

export const ADMIN_PATHS = {
  Document: '/admin/v1/document',
  Validate: '/admin/v1/validate',
  Edits: '/admin/v1/edits',
  Keys: '/admin/v1/keys',
  History: '/admin/v1/history',
  Vms: '/admin/v1/vms',
  Servers: '/admin/v1/servers',
  Burn: '/admin/v1/report/burn',
  Health: '/healthz',
  Ready: '/readyz',
  Metrics: '/metrics',
} as const;

const SectionTextSchema = Schema.Struct({ hash: Schema.String, text: Schema.String });

const DocumentViewSchema = Schema.Struct({
  revision: Schema.Number,
  sections: Schema.Struct({
    operators: SectionTextSchema,
    vms: SectionTextSchema,
    models: SectionTextSchema,
    workspaces: SectionTextSchema,
  }),
});

/** The text and content hash of each section of the current configuration document. */
export type DocumentView = typeof DocumentViewSchema.Type;

const SectionEditSchema = Schema.Struct({
  text: Schema.String,
  baseHash: Schema.NullOr(Schema.String),
});

/** Creates the optional fields of a struct that has one field per section. */
function createSectionFields<T extends Schema.Top>(schema: T) {
  return {
    operators: Schema.optionalKey(schema),
    vms: Schema.optionalKey(schema),
    models: Schema.optionalKey(schema),
    workspaces: Schema.optionalKey(schema),
  };
}

const EditMessageSchema = Schema.Struct({
  editId: Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(64)),
  note: Schema.String.check(Schema.isMaxLength(500)),
  sections: Schema.Struct(createSectionFields(SectionEditSchema)),
});

/** A request to replace one or more sections. */
export type EditMessage = typeof EditMessageSchema.Type;

const KeyMessageSchema = Schema.Struct({
  editId: Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(64)),
  workspace: Schema.String,
  keyId: Schema.String.check(Schema.isMinLength(1)),
});

/** A request to issue or revoke a workspace key. */
export type KeyMessage = typeof KeyMessageSchema.Type;

const EditAnswerSchema = Schema.Struct({ revision: Schema.Number });
const KeyAnswerSchema = Schema.Struct({ revision: Schema.Number, key: Schema.String });
const VmViewSchema = Schema.Struct({
  vmId: Schema.String,
  failureDomain: Schema.String,
  revision: Schema.Number,
  leaving: Schema.Boolean,
  shareUnits: Schema.Number,
  heardAgoMs: Schema.Number,
  isLive: Schema.Boolean,
});
const VmListSchema = Schema.Struct({ vms: Schema.Array(VmViewSchema) });
const HistorySchema = Schema.Struct({
  edits: Schema.Array(
    Schema.Struct({
      revision: Schema.Number,
      editId: Schema.String,
      team: Schema.String,
      sections: Schema.Array(Schema.Literals(ALL_SECTIONS)),
      note: Schema.String,
    }),
  ),
});
const ErrorsSchema = Schema.Struct({
  errors: Schema.Array(
    Schema.Struct({
      code: Schema.Number,
      key: Schema.String,
      message: Schema.String,
      path: Schema.optionalKey(Schema.String),
    }),
  ),
});

/** An error in an API response. */
export type AdminError = (typeof ErrorsSchema.Type)['errors'][number];

export const decodeDocumentView = (text: string): Either<Diagnostic, DocumentView> =>
  decodeJson(DocumentViewSchema, text);
export const decodeEditMessage = (text: string): Either<Diagnostic, EditMessage> =>
  decodeJson(EditMessageSchema, text);
export const decodeKeyMessage = (text: string): Either<Diagnostic, KeyMessage> =>
  decodeJson(KeyMessageSchema, text);
export const decodeEditAnswer = (text: string): Either<Diagnostic, { revision: number }> =>
  decodeJson(EditAnswerSchema, text);
export const decodeKeyAnswer = (
  text: string,
): Either<Diagnostic, { revision: number; key: string }> => decodeJson(KeyAnswerSchema, text);
export const decodeVmViews = (
  text: string,
): Either<Diagnostic, (typeof VmListSchema.Type)['vms']> =>
  decodeJson(VmListSchema, text).map((list) => list.vms);
export const decodeHistory = (
  text: string,
): Either<Diagnostic, (typeof HistorySchema.Type)['edits']> =>
  decodeJson(HistorySchema, text).map((history) => history.edits);
export const decodeErrors = (text: string): Either<Diagnostic, readonly AdminError[]> =>
  decodeJson(ErrorsSchema, text).map((answer) => answer.errors);

/** Encodes the errors of an API response. */
export function encodeErrors(errors: readonly Diagnostic[]): string {
  return JSON.stringify({
    errors: errors.map(({ code, key, message, path }) => ({
      code,
      key,
      message,
      ...(path === undefined ? {} : { path }),
    })),
  });
}

/** The section of the configuration document that holds the workspace keys. */
export const KEYS_SECTION: Section = 'workspaces';

/** The fields of an unchecked workspaces section that edits of keys read. */
interface ParsedWorkspaces {
  readonly workspaces?: readonly {
    readonly name?: unknown;
    readonly keys?: readonly { readonly id?: unknown }[];
  }[];
}

/** Adds a key to a workspace in the text of the workspaces section, and preserves comments. */
export function addKey(
  text: string,
  workspace: string,
  key: WorkspaceKey,
): { readonly text: string } | Diagnostic {
  const document = parseYamlDocument(text);
  const { workspaces = [] } = document.toJS() as ParsedWorkspaces;
  const index = workspaces.findIndex((item) => item.name === workspace);
  if (index < 0) {
    return createDiagnosticAt(
      'workspaces.workspaces',
      Diagnostics.UnknownReference,
      workspace,
      'workspace',
    );
  }
  if (workspaces[index]!.keys?.some((item) => item.id === key.id) === true) {
    const path = `workspaces.workspaces[${index}].keys`;
    return createDiagnosticAt(path, Diagnostics.DuplicateName, key.id);
  }
  document.addIn(['workspaces', index, 'keys'], document.createNode(key));
  return { text: document.toString() };
}

/** Removes a key from a workspace in the text of the workspaces section, and preserves comments. */
export function removeKey(
  text: string,
  workspace: string,
  keyId: string,
): { readonly text: string } | Diagnostic {
  const document = parseYamlDocument(text);
  const { workspaces = [] } = document.toJS() as ParsedWorkspaces;
  const index = workspaces.findIndex((item) => item.name === workspace);
  const keyIndex = workspaces[index]?.keys?.findIndex((item) => item.id === keyId) ?? -1;
  if (keyIndex < 0) {
    const path = 'workspaces.workspaces';
    return createDiagnosticAt(path, Diagnostics.UnknownReference, `${workspace}/${keyId}`, 'key');
  }
  document.deleteIn(['workspaces', index, 'keys', keyIndex]);
  return { text: document.toString() };
}
