//! Standard base64 with padding.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes text; digits that are none are skipped.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let (mut bits, mut count, mut bytes) = (0_u32, 0, Vec::new());
    for digit in digits {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
