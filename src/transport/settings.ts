/**
 * Settings of the daemon: flags and environment variables, each checked.
 *
 * A flag goes before its variable, and a variable before the default. Every wrong setting is reported.
 */
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/** What a setting's text must look like. */
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
  readonly expected: string;
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
    expected: 'a name of letters, digits and . _ : -',
    parse: (text) => (NAME_PATTERN.test(text) ? text : null),
  },
  [SettingType.Address]: { expected: 'an address host:port', parse: parseAddress },
  [SettingType.AddressList]: {
    expected: 'addresses host:port, separated by commas',
    parse: parseAddressList,
  },
  [SettingType.Integer]: { expected: 'a whole number', parse: parseInteger },
  [SettingType.Text]: { expected: 'a text', parse: (text) => text },
  [SettingType.LogLevel]: {
    expected: `one of ${LOG_LEVELS.join(', ')}`,
    parse: (text) => (LOG_LEVELS.includes(text) ? text : null),
  },
};

interface SettingDefinition<T extends SettingType = SettingType> {
  readonly flag: string;
  readonly variable: string;
  readonly type: T;
  /** Null if the setting must be given. */
  readonly defaultText: string | null;
  readonly isSecret: boolean;
  readonly help: string;
}

const VARIABLE_PREFIX = 'GENTIANDECK_';

function define<T extends SettingType>(
  flag: string,
  type: T,
  defaultText: string | null,
  help: string,
  isSecret = false,
): SettingDefinition<T> {
  const variable = VARIABLE_PREFIX + flag.replaceAll('-', '_').toUpperCase();
  return { flag, variable, type, defaultText, isSecret, help };
}

/** Every setting of the daemon, by its field. */
export const SETTING_DEFINITIONS = {
  vmId: define('vm-id', SettingType.Name, null, 'Name of this VM, unique in the fleet'),
  failureDomain: define('failure-domain', SettingType.Name, null, 'Failure domain of this VM'),
  listenAddress: define('listen', SettingType.Address, '127.0.0.1:8080', 'Address for callers'),
  peerAddress: define('peer-listen', SettingType.Address, '127.0.0.1:8081', 'Address for peers'),
  adminAddress: define(
    'admin-listen',
    SettingType.Address,
    '127.0.0.1:8082',
    'Address for operators, health checks and metrics',
  ),
  storeAddresses: define(
    'store',
    SettingType.AddressList,
    null,
    'Addresses of the key-value service',
  ),
  peers: define('peers', SettingType.AddressList, '', 'Peers to contact before any is listed'),
  bootstrapToken: define(
    'bootstrap-token',
    SettingType.Text,
    '',
    'Operator token that may write the first document',
    true,
  ),
  logLevel: define('log-level', SettingType.LogLevel, 'info', 'Least level of the log'),
  maxBodyBytes: define('max-body-bytes', SettingType.Integer, '1048576', 'Largest request body'),
  maxConnections: define(
    'max-connections',
    SettingType.Integer,
    '4096',
    'Connections of callers held at once',
  ),
  bodyTimeoutMs: define(
    'body-timeout-ms',
    SettingType.Integer,
    '10000',
    'Time for a request to arrive',
  ),
  requestTimeoutMs: define(
    'request-timeout-ms',
    SettingType.Integer,
    '120000',
    'Time for a request to be answered',
  ),
  defaultMaxTokens: define(
    'default-max-tokens',
    SettingType.Integer,
    '256',
    'Tokens generated at most when the caller sets no limit',
  ),
  storeTimeoutMs: define('store-timeout-ms', SettingType.Integer, '1000', 'Time for a store call'),
  unreadyMs: define(
    'unready-ms',
    SettingType.Integer,
    '2000',
    'Time from "not ready" to the first refusal in a planned stop',
  ),
  drainTimeoutMs: define(
    'drain-timeout-ms',
    SettingType.Integer,
    '150000',
    'Time for open requests to end in a planned stop',
  ),
  gossipIntervalMs: define(
    'gossip-interval-ms',
    SettingType.Integer,
    '1000',
    'Time between gossip rounds',
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

/** The checked settings. */
export type Settings = {
  readonly [K in SettingKey]: SettingValues[(typeof SETTING_DEFINITIONS)[K]['type']];
};

const ENTRIES = Object.entries(SETTING_DEFINITIONS) as [SettingKey, SettingDefinition][];
/** What the command line library adds to the flags by itself. */
const LIBRARY_FLAGS = new Set(['_', 'check-settings']);

type Flags = Readonly<Record<string, unknown>>;
type Environment = Readonly<Record<string, string | undefined>>;

function findText(
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
      createDiagnostic(Diagnostics.InvalidSetting, name, '', `${expected}; it must be set`),
    );
  }
  const value = parse(text);
  const shown = definition.isSecret ? '(hidden)' : text;
  return value === null
    ? Left(createDiagnostic(Diagnostics.InvalidSetting, name, shown, expected))
    : Right(value);
}

function findUnknownFlags(flags: Flags): Diagnostic[] {
  const known = new Set<string>(ENTRIES.map(([, definition]) => definition.flag));
  return Object.keys(flags)
    .filter((flag) => !known.has(flag) && !LIBRARY_FLAGS.has(flag))
    .map((flag) => createDiagnostic(Diagnostics.UnknownSetting, `--${flag}`));
}

function findUnknownVariables(environment: Environment): Diagnostic[] {
  const known = new Set<string>(ENTRIES.map(([, definition]) => definition.variable));
  return Object.keys(environment)
    .filter((name) => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
    .map((name) => createDiagnostic(Diagnostics.UnknownSetting, name));
}

/** Reads the settings. Left lists every one that is wrong or unknown. */
export function parseSettings(
  flags: Flags,
  environment: Environment,
): Either<Diagnostic[], Settings> {
  const parsed = ENTRIES.map(([key, definition]) => ({
    key,
    value: parseSetting(definition, findText(definition, flags, environment)),
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

/** Returns the settings in force as shown to people, secrets hidden. */
export function describeSettings(settings: Settings): Record<string, unknown> {
  return Object.fromEntries(
    ENTRIES.map(([key, definition]) => [
      definition.flag,
      definition.isSecret && settings[key] !== '' ? '(hidden)' : settings[key],
    ]),
  );
}
