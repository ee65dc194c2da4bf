//! Names that operators choose. They become parts of keys, URLs and headers.

/// Longest name, as for a DNS label.
pub const NAME_MAX_BYTES: usize = 63;

/// What to do about a name that [`mistake`] refuses.
pub const NAME_REMEDY: &str =
    "use 1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends";

/// What is wrong with a name; `None` if it may be used.
#[must_use]
pub fn mistake(name: &str) -> Option<String> {
    if name.is_empty() {
        return Some("the name is empty".into());
    }
    if name.len() > NAME_MAX_BYTES {
        return Some(format!("the name has {} bytes", name.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if let Some(character) = name.chars().find(|c| !allowed(*c)) {
        return Some(format!("the name has the character {character:?}"));
    }
    if name.starts_with('-') || name.ends_with('-') {
        return Some("the name has a hyphen at an end".into());
    }
    None
}
