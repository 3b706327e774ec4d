//! Message authentication with the shared keys of a deployment.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a proof in bytes.
pub const PROOF_BYTES: usize = 16;
/// Shortest shared key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// HMAC-SHA-256, truncated to [`PROOF_BYTES`].
pub type Proof = [u8; PROOF_BYTES];
/// Random bytes that bind a proof to one connection.
pub type Nonce = [u8; 16];

/// Shared keys. The first one signs and all of them verify, so that keys can be rotated: every
/// process needs both keys before one of them signs with the new key.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<String>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.keys.len())
    }
}

impl Keys {
    /// Creates the set of keys; `None` if it is empty or a key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(keys: Vec<String>) -> Option<Keys> {
        let is_valid = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        is_valid.then_some(Keys { keys })
    }

    /// Whether `key` is one of the keys. Each comparison takes constant time.
    pub fn contains(&self, key: &str) -> bool {
        let is_same = |known: &String| bool::from(known.as_bytes().ct_eq(key.as_bytes()));
        self.keys.iter().any(is_same)
    }

    /// Signs `parts` with the first key.
    pub fn sign(&self, parts: &[&[u8]]) -> Proof {
        compute_proof(&self.keys[0], parts)
    }

    /// Whether `proof` is the signature of `parts` by any of the keys.
    pub fn verify(&self, parts: &[&[u8]], proof: &Proof) -> bool {
        self.keys.iter().any(|key| bool::from(compute_proof(key, parts).ct_eq(proof)))
    }
}

// Hashes the length of each part before the part, so that moving a boundary changes the proof.
fn compute_proof(key: &str, parts: &[&[u8]]) -> Proof {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts a key of any length");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    let digest = mac.finalize().into_bytes();
    let mut proof = [0; PROOF_BYTES];
    proof.copy_from_slice(&digest[..PROOF_BYTES]);
    proof
}
