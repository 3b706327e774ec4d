//! Output of the simulated model, a pure function of the prompt.

use std::hash::{Hash, Hasher};

const MIN_TOKENS: u64 = 8;
const TOKEN_SPREAD: u64 = 24;
const CHARS_PER_TOKEN: usize = 4;

fn hash(prompt: &str, salt: u64) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    prompt.hash(&mut hasher);
    salt.hash(&mut hasher);
    hasher.finish()
}

/// Token `index` of the answer to `prompt`, counted from 0.
pub fn token(prompt: &str, index: u32) -> String {
    format!("w{:05x} ", hash(prompt, u64::from(index) + 1) & 0xf_ffff)
}

/// Number of tokens of the answer; `max_tokens` if the prompt starts with `long `.
pub fn length(prompt: &str, max_tokens: u32) -> u32 {
    if prompt.starts_with("long ") {
        return max_tokens;
    }
    let drawn = MIN_TOKENS + hash(prompt, 0) % TOKEN_SPREAD;
    max_tokens.min(drawn as u32)
}

/// Complete answer to `prompt`.
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    (0..length(prompt, max_tokens)).map(|index| token(prompt, index)).collect()
}

/// Number of tokens in a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(CHARS_PER_TOKEN) as u32
}
