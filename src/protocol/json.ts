/**
 * Parses JSON texts and decodes them with schemas. A failure is returned as a diagnostic.
 */
import { Result, Schema } from 'effect';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/** Parses a JSON text. Left is `MalformedBody`. */
export function parseJson(text: string): Either<Diagnostic, unknown> {
  return Either.encase(() => JSON.parse(text) as unknown).mapLeft(() =>
    createDiagnostic(Diagnostics.MalformedBody, 'expected JSON'),
  );
}

/** Decodes a value with a schema. Left tells what was expected. */
export function matchValue<T, E>(schema: Schema.Codec<T, E>, value: unknown): Either<string, T> {
  const result = Schema.decodeUnknownResult(schema)(value);
  return Result.isSuccess(result) ? Right(result.success) : Left(String(result.failure.message));
}

/** Decodes a value with a schema. Left is `MalformedBody` with the expected form. */
export function decodeValue<T, E>(
  schema: Schema.Codec<T, E>,
  value: unknown,
): Either<Diagnostic, T> {
  return matchValue(schema, value).mapLeft((expected) =>
    createDiagnostic(Diagnostics.MalformedBody, expected),
  );
}

/** Parses a JSON text and decodes it with a schema. Left is `MalformedBody`. */
export function decodeJson<T, E>(schema: Schema.Codec<T, E>, text: string): Either<Diagnostic, T> {
  return parseJson(text).chain((value) => decodeValue(schema, value));
}
