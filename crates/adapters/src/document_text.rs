//! Parses the text of documents, which is JSON with comments.

use std::sync::Arc;

use jsonc_parser::ParseOptions;
use jsonc_parser::errors::ParseError;
use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{DocumentFields, Parsed, Problem};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

mod structure;

/// Allows comments and trailing commas. Other deviations from JSON, such as missing commas, are
/// rejected because they are often mistakes.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Maximum size of a text. The platform's store accepts values of up to 1 MB, and the stored record
/// contains further fields.
pub const TEXT_MAX_BYTES: usize = 900_000;

/// Parses the text of a document.
///
/// # Errors
///
/// Returns the errors in the text: invalid syntax, unknown or missing fields, wrong types.
pub fn parse(text: &str) -> Result<Document<Parsed>, Vec<Problem>> {
    if text.len() > TEXT_MAX_BYTES {
        return Err(vec![Problem {
            path: "document".into(),
            reason: format!("the text has {} bytes", text.len()),
            remedy: format!("shorten it to {TEXT_MAX_BYTES} bytes"),
        }]);
    }
    let fields: DocumentFields = parse_fields(text).map_err(|problem| vec![problem])?;
    Ok(Document::parsed(text.into(), digest(text), fields))
}

/// Parses JSON with comments into a type.
///
/// # Errors
///
/// Returns the first error with its path.
pub fn parse_fields<T: DeserializeOwned>(text: &str) -> Result<T, Problem> {
    structure::check(text)?;
    let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS)
        .map_err(|error| syntax_problem(&error))?;
    serde_path_to_error::deserialize(value).map_err(|error| Problem {
        path: error.path().to_string(),
        reason: error.inner().to_string(),
        remedy: "see docs/reference.md for the fields and their units".into(),
    })
}

fn syntax_problem(error: &ParseError) -> Problem {
    let (line, column) = (error.line_display(), error.column_display());
    Problem {
        path: format!("line {line}, column {column}"),
        reason: error.kind().to_string(),
        remedy: "correct the syntax; the format is JSON with comments".into(),
    }
}

/// Returns the problem to report for a file that is not valid UTF-8.
#[must_use]
pub fn invalid_utf8_problem(error: &std::string::FromUtf8Error) -> Problem {
    Problem {
        path: format!("byte {}", error.utf8_error().valid_up_to()),
        reason: "the bytes are not UTF-8".into(),
        remedy: "save the file as UTF-8".into(),
    }
}

/// Returns the SHA-256 digest of a text in hexadecimal.
#[must_use]
pub fn digest(text: &str) -> Arc<str> {
    let digest = Sha256::digest(text.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.into()
}
