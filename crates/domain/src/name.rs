//! Validation of names chosen by operators, which are used in store keys, URLs and headers.

/// Maximum length of a name, as for a DNS label.
pub const NAME_MAX_BYTES: usize = 63;

/// Remedy for a name that [`validation_error`] rejects.
pub const NAME_REMEDY: &str =
    "use 1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends";

/// Returns the reason why a name is invalid; `None` if it is valid.
#[must_use]
pub fn validation_error(name: &str) -> Option<String> {
    if name.is_empty() {
        return Some("the name is empty".into());
    }
    if name.len() > NAME_MAX_BYTES {
        return Some(format!("the name has {} bytes", name.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if let Some(character) = name.chars().find(|c| !allowed(*c)) {
        return Some(format!("the name contains the character {character:?}"));
    }
    if name.starts_with('-') || name.ends_with('-') {
        return Some("the name starts or ends with a hyphen".into());
    }
    None
}
