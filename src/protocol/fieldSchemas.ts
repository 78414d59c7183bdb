/**
 * Schemas of single fields in texts that others write: a value is accepted only within the bounds of what it stands for.
 */
import { Schema } from 'effect';
import { isHeaderValue } from './httpText.js';

/** Longest delay that a timer of Node.js holds; it fires at once for a longer one. */
export const MAX_TIMER_MS = 2_147_483_647;
const MS_PER_SECOND = 1_000;
const MAX_UINT32 = 4_294_967_295;
const MAX_PORT = 65_535;
/** Latest time that a date has, in Unix milliseconds. */
const MAX_DATE_MS = 8_640_000_000_000_000;
/** An IPv4 address or a host name, and a port. */
const ADDRESS_PATTERN = /^[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?:(\d{1,5})$/;
/** Ids are sent in headers, and written in logs and commands. */
const ID_PATTERN = /^[\x21-\x7e]{1,256}$/;

const { isBetween, isFinite, isGreaterThanOrEqualTo, isInt, isPattern } = Schema;

/** A number from zero up. */
export const AmountSchema = Schema.Number.check(isFinite(), isGreaterThanOrEqualTo(0));

/** A number above zero. */
export const PositiveSchema = Schema.Number.check(isFinite(), Schema.isGreaterThan(0));

/** A safe integer from zero up. */
export const CountSchema = Schema.Number.check(isInt(), isGreaterThanOrEqualTo(0));

/** A count that a message between VMs can hold. */
export const Uint32Schema = Schema.Number.check(
  isInt(),
  isBetween({ minimum: 0, maximum: MAX_UINT32 }),
);

/** A number of concurrent requests or connections: no host has more connections than ports. */
export const ConcurrencySchema = Schema.Number.check(
  isInt(),
  isBetween({ minimum: 1, maximum: MAX_PORT }),
);

/** A duration in milliseconds, for which a timer can wait. */
export const DurationMsSchema = Schema.Number.check(
  isBetween({ minimum: 0, maximum: MAX_TIMER_MS }),
);

/** A duration in seconds, for which a timer can wait. */
export const DurationSecondsSchema = Schema.Number.check(
  isBetween({ minimum: 0, maximum: MAX_TIMER_MS / MS_PER_SECOND }),
);

/** A wall clock time in Unix milliseconds. */
export const WallTimeMsSchema = Schema.Number.check(
  isBetween({ minimum: 0, maximum: MAX_DATE_MS }),
);

/** A host and a port from 1 to 65535, as `host:port`. */
export const AddressSchema = Schema.String.check(
  isPattern(ADDRESS_PATTERN),
  Schema.makeFilter<string>((address) => {
    const port = Number(address.slice(address.lastIndexOf(':') + 1));
    return (port >= 1 && port <= MAX_PORT) || 'a port from 1 to 65535';
  }),
);

/** An id of printable ASCII characters without spaces. */
export const IdSchema = Schema.String.check(isPattern(ID_PATTERN));

/** A text that can be sent as the value of a header. */
export const HeaderValueSchema = Schema.String.check(
  Schema.makeFilter<string>((text) => isHeaderValue(text) || 'a value that a header can have'),
);
