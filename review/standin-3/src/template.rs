//! Fills in the template of the settings file, as the platform does.

use crate::json::Json;

/// Replaces placeholders and sections by the values of the fields.
pub fn fill(template: &str, fields: &Json) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let Some(end) = rest[start..].find("}}") else { break };
        let tag = &rest[start + 2..start + end];
        rest = &rest[start + end + 2..];
        match tag.strip_prefix('#') {
            Some(name) => {
                let close = format!("{{{{/{name}}}}}");
                let Some(length) = rest.find(&close) else { break };
                if !matches!(find(fields, name), Json::Null | Json::Bool(false)) {
                    out.push_str(&fill(&rest[..length], fields));
                }
                rest = &rest[length + close.len()..];
            }
            None => match tag.strip_suffix("|json") {
                Some(name) => out.push_str(&find(fields, name).to_string()),
                None => match find(fields, tag) {
                    Json::Text(text) => out.push_str(text),
                    Json::Null => {}
                    value => out.push_str(&value.to_string()),
                },
            },
        }
    }
    out.push_str(rest);
    out
}

fn find<'j>(fields: &'j Json, path: &str) -> &'j Json {
    path.split('.').fold(fields, |value, name| match value {
        Json::List(items) => name.parse().ok().and_then(|index: usize| items.get(index)).unwrap_or(&Json::Null),
        value => value.get(name),
    })
}
