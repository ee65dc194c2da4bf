//! Checks of a text that are not possible after deserialization: empty texts, excessive nesting,
//! duplicate names, and lists in place of objects.

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, parse_to_ast};
use rosemaryscale_domain::FastSet;
use rosemaryscale_domain::document::Problem;

use super::{PARSE_OPTIONS, syntax_problem};

/// Maximum nesting of a text. Valid documents have six levels; the parser itself allows 512.
const MAX_DEPTH: usize = 16;

/// Fields that contain lists. In other places, serde would accept a list as the fields of an object
/// in the order of their definition.
const LIST_FIELDS: [&str; 2] = ["repeatable", "peers"];

/// Checks the structure of a text.
pub(super) fn check(text: &str) -> Result<(), Problem> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|error| syntax_problem(&error))?;
    match parsed.value {
        Some(value) => check_value(&value, &mut Vec::new()),
        None => Err(problem(
            "document",
            "the text is empty".into(),
            "write an object; the directory examples has complete ones",
        )),
    }
}

fn check_value<'a>(value: &'a Value<'_>, path: &mut Vec<&'a str>) -> Result<(), Problem> {
    if path.len() > MAX_DEPTH {
        let reason = format!("there are more than {MAX_DEPTH} levels");
        return Err(problem(&path.join("."), reason, "remove levels"));
    }
    match value {
        Value::Object(object) => {
            let mut names = FastSet::default();
            for property in &object.properties {
                path.push(property.name.as_str());
                if !names.insert(property.name.as_str()) {
                    let reason = "the name appears twice; which value counts is not defined".into();
                    return Err(problem(&path.join("."), reason, "remove one of them"));
                }
                check_value(&property.value, path)?;
                path.pop();
            }
        }
        Value::Array(array) => {
            let is_list = path.last().is_some_and(|name| LIST_FIELDS.contains(name));
            if !is_list {
                let reason = "a list is not expected here".into();
                return Err(problem(
                    &path.join("."),
                    reason,
                    "name the fields in an object",
                ));
            }
            for element in &array.elements {
                path.push("[]");
                check_value(element, path)?;
                path.pop();
            }
        }
        _ => {}
    }
    Ok(())
}

fn problem(path: &str, reason: String, remedy: &str) -> Problem {
    Problem {
        path: path.into(),
        reason,
        remedy: remedy.into(),
    }
}
