/**
 * Parses the daemon's settings from command-line flags and environment variables.
 *
 * A flag overrides its variable, and a variable overrides the default. All invalid settings are reported together.
 */
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/** Format of a setting's text. */
export const SettingType = {
  Name: 'name',
  Address: 'address',
  AddressList: 'addressList',
  Integer: 'integer',
  Text: 'text',
  LogLevel: 'logLevel',
} as const;
export type SettingType = (typeof SettingType)[keyof typeof SettingType];

interface SettingParser {
  /** The expected format, for error messages. */
  readonly expected: string;
  /** Returns null if the text does not have the expected format. */
  readonly parse: (text: string) => string | number | string[] | null;
}

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^([^\s:]+):(\d{1,5})$/;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]*$/;
const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent'];

function parseAddress(text: string): string | null {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[2] ?? Number.NaN);
  return port > 0 && port <= MAX_PORT ? text : null;
}

function parseAddressList(text: string): string[] | null {
  const items = text === '' ? [] : text.split(',');
  return items.every((item) => parseAddress(item) !== null) ? items : null;
}

function parseInteger(text: string): number | null {
  return /^\d{1,15}$/.test(text) ? Number(text) : null;
}

const PARSERS: Readonly<Record<SettingType, SettingParser>> = {
  [SettingType.Name]: {
    expected: 'a name that begins with a letter or digit, followed by letters, digits and . _ : -',
    parse: (text) => (NAME_PATTERN.test(text) ? text : null),
  },
  [SettingType.Address]: { expected: 'an address of the form host:port', parse: parseAddress },
  [SettingType.AddressList]: {
    expected: 'comma-separated addresses of the form host:port',
    parse: parseAddressList,
  },
  [SettingType.Integer]: {
    expected: 'a non-negative integer of at most 15 digits',
    parse: parseInteger,
  },
  [SettingType.Text]: { expected: 'text', parse: (text) => text },
  [SettingType.LogLevel]: {
    expected: `one of ${LOG_LEVELS.join(', ')}`,
    parse: (text) => (LOG_LEVELS.includes(text) ? text : null),
  },
};

interface SettingDefinition<T extends SettingType = SettingType> {
  readonly flag: string;
  readonly variable: string;
  readonly type: T;
  /** Null if the setting is required. */
  readonly defaultText: string | null;
  /** Whether the value is hidden in output and error messages. */
  readonly isSecret: boolean;
  readonly help: string;
}

const VARIABLE_PREFIX = 'GENTIANDECK_';

/** Creates a setting definition; the name of the variable is derived from the flag. */
function defineSetting<T extends SettingType>(
  flag: string,
  type: T,
  defaultText: string | null,
  help: string,
  isSecret = false,
): SettingDefinition<T> {
  const variable = VARIABLE_PREFIX + flag.replaceAll('-', '_').toUpperCase();
  return { flag, variable, type, defaultText, isSecret, help };
}

/** All settings of the daemon, by their field in `Settings`. */
export const SETTING_DEFINITIONS = {
  vmId: defineSetting('vm-id', SettingType.Name, null, 'Name of this VM, unique in the fleet'),
  failureDomain: defineSetting(
    'failure-domain',
    SettingType.Name,
    null,
    'Failure domain of this VM',
  ),
  listenAddress: defineSetting(
    'listen',
    SettingType.Address,
    '127.0.0.1:8080',
    'Listen address for callers',
  ),
  peerAddress: defineSetting(
    'peer-listen',
    SettingType.Address,
    '127.0.0.1:8081',
    'Listen address for peers',
  ),
  adminAddress: defineSetting(
    'admin-listen',
    SettingType.Address,
    '127.0.0.1:8082',
    'Listen address for operators, health checks and metrics',
  ),
  storeAddresses: defineSetting(
    'store',
    SettingType.AddressList,
    null,
    'Addresses of the key-value service',
  ),
  peers: defineSetting(
    'peers',
    SettingType.AddressList,
    '',
    'Addresses of peers to contact before any member is known',
  ),
  bootstrapToken: defineSetting(
    'bootstrap-token',
    SettingType.Text,
    '',
    'Operator token that may write the first configuration document',
    true,
  ),
  logLevel: defineSetting('log-level', SettingType.LogLevel, 'info', 'Lowest level that is logged'),
  maxBodyBytes: defineSetting(
    'max-body-bytes',
    SettingType.Integer,
    '1048576',
    'Maximum size of a request body in bytes',
  ),
  memoryMb: defineSetting(
    'memory-mb',
    SettingType.Integer,
    '0',
    'Memory of the machine in MB, which bounds all request bodies together; 0 stands for the heap limit of Node.js',
  ),
  maxConnections: defineSetting(
    'max-connections',
    SettingType.Integer,
    '4096',
    'Maximum number of open connections from callers',
  ),
  bodyTimeoutMs: defineSetting(
    'body-timeout-ms',
    SettingType.Integer,
    '10000',
    'Time limit for receiving a request in milliseconds',
  ),
  requestTimeoutMs: defineSetting(
    'request-timeout-ms',
    SettingType.Integer,
    '120000',
    'Time limit for answering a request in milliseconds',
  ),
  defaultMaxTokens: defineSetting(
    'default-max-tokens',
    SettingType.Integer,
    '256',
    'Maximum number of generated tokens when the caller sets no limit',
  ),
  storeTimeoutMs: defineSetting(
    'store-timeout-ms',
    SettingType.Integer,
    '1000',
    'Time limit for a store call in milliseconds',
  ),
  unreadyMs: defineSetting(
    'unready-ms',
    SettingType.Integer,
    '2000',
    'Time from reporting "not ready" to rejecting requests in a graceful shutdown in milliseconds',
  ),
  drainTimeoutMs: defineSetting(
    'drain-timeout-ms',
    SettingType.Integer,
    '150000',
    'Time limit for open requests to complete in a graceful shutdown in milliseconds',
  ),
  gossipIntervalMs: defineSetting(
    'gossip-interval-ms',
    SettingType.Integer,
    '1000',
    'Time between gossip rounds in milliseconds',
  ),
} as const satisfies Record<string, SettingDefinition>;

type SettingKey = keyof typeof SETTING_DEFINITIONS;
interface SettingValues {
  readonly [SettingType.Name]: string;
  readonly [SettingType.Address]: string;
  readonly [SettingType.AddressList]: readonly string[];
  readonly [SettingType.Integer]: number;
  readonly [SettingType.Text]: string;
  readonly [SettingType.LogLevel]: string;
}

/** The parsed and validated settings. */
export type Settings = {
  readonly [K in SettingKey]: SettingValues[(typeof SETTING_DEFINITIONS)[K]['type']];
};

const ENTRIES = Object.entries(SETTING_DEFINITIONS) as [SettingKey, SettingDefinition][];
/** Keys of the parsed command line that are not settings. */
const NON_SETTING_FLAGS = new Set(['_', 'check-settings']);

type Flags = Readonly<Record<string, unknown>>;
type Environment = Readonly<Record<string, string | undefined>>;

/** Returns the text of a setting from its flag, its variable or its default; null if it is missing. */
function resolveText(
  definition: SettingDefinition,
  flags: Flags,
  environment: Environment,
): string | null {
  const flag = flags[definition.flag];
  return flag === undefined
    ? (environment[definition.variable] ?? definition.defaultText)
    : String(flag);
}

function parseSetting(
  definition: SettingDefinition,
  text: string | null,
): Either<Diagnostic, string | number | string[]> {
  const { expected, parse } = PARSERS[definition.type];
  const name = `--${definition.flag} (${definition.variable})`;
  if (text === null) {
    return Left(
      createDiagnostic(
        Diagnostics.InvalidSetting,
        name,
        '',
        `${expected} (the setting is required)`,
      ),
    );
  }
  const value = parse(text);
  const displayedValue = definition.isSecret ? '(hidden)' : text;
  return value === null
    ? Left(createDiagnostic(Diagnostics.InvalidSetting, name, displayedValue, expected))
    : Right(value);
}

function findUnknownFlags(flags: Flags): Diagnostic[] {
  const known = new Set<string>(ENTRIES.map(([, definition]) => definition.flag));
  return Object.keys(flags)
    .filter((flag) => !known.has(flag) && !NON_SETTING_FLAGS.has(flag))
    .map((flag) => createDiagnostic(Diagnostics.UnknownSetting, `--${flag}`));
}

function findUnknownVariables(environment: Environment): Diagnostic[] {
  const known = new Set<string>(ENTRIES.map(([, definition]) => definition.variable));
  return Object.keys(environment)
    .filter((name) => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
    .map((name) => createDiagnostic(Diagnostics.UnknownSetting, name));
}

/** Parses the settings. Left lists every invalid, missing or unknown setting. */
export function parseSettings(
  flags: Flags,
  environment: Environment,
): Either<Diagnostic[], Settings> {
  const parsed = ENTRIES.map(([key, definition]) => ({
    key,
    value: parseSetting(definition, resolveText(definition, flags, environment)),
  }));
  const errors = [
    ...findUnknownFlags(flags),
    ...findUnknownVariables(environment),
    ...Either.lefts(parsed.map(({ value }) => value)),
  ];
  if (errors.length > 0) {
    return Left(errors);
  }
  const values = parsed.map(({ key, value }) => [key, value.orDefault('')]);
  return Right(Object.fromEntries(values) as unknown as Settings);
}

/** Returns the values of all settings by flag for display, with secrets hidden. */
export function describeSettings(settings: Settings): Record<string, unknown> {
  return Object.fromEntries(
    ENTRIES.map(([key, definition]) => [
      definition.flag,
      definition.isSecret && settings[key] !== '' ? '(hidden)' : settings[key],
    ]),
  );
}
