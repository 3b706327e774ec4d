//! Tokens of the fake model: a pure function of the prompt.

use std::hash::{Hash, Hasher};

const LEAST_TOKENS: u64 = 8;
const SPREAD_TOKENS: u64 = 24;
const CHARS_PER_TOKEN: usize = 4;

fn hash(prompt: &str, salt: u64) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    prompt.hash(&mut hasher);
    salt.hash(&mut hasher);
    hasher.finish()
}

/// Token number `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    format!("w{:05x} ", hash(prompt, u64::from(index) + 1) & 0xf_ffff)
}

/// Number of tokens of the answer; a prompt that starts with `long ` gets all it may have.
pub fn length(prompt: &str, max_tokens: u32) -> u32 {
    if prompt.starts_with("long ") {
        return max_tokens;
    }
    let natural = LEAST_TOKENS + hash(prompt, 0) % SPREAD_TOKENS;
    max_tokens.min(natural as u32)
}

/// Whole answer to `prompt`.
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    (0..length(prompt, max_tokens)).map(|index| token(prompt, index)).collect()
}

/// Number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(CHARS_PER_TOKEN) as u32
}
