//! Identifiers shared by all processes.

use sha2::Digest;

/// Name of a backend server; the agent beside it carries the same name.
pub type ServerName = String;
/// Name of a service in the service list.
pub type ServiceName = String;
/// Name of a caller in the service list.
pub type CallerName = String;
/// Name of a customer.
pub type CustomerName = String;
/// Hash of the name of a customer.
pub type CustomerTag = u32;
/// Name of an availability zone.
pub type ZoneName = String;
/// Hash of the name of an availability zone.
pub type ZoneTag = u16;
/// Hash of the name of a backend server, for messages in which names would not fit.
pub type ServerTag = u32;
/// Hash of one process of a backend server: its name and its start.
pub type ProcessTag = u32;
/// Identifies a part of prompts, which many prompts may share.
pub type PartTag = u64;
/// Hash of the first parts of a prompt, in order.
pub type BeginningTag = u64;
/// Name of a version of the software of backend servers.
pub type SoftwareName = String;
/// Hash of a service and a version of its servers' software.
pub type SoftwareTag = u32;
/// Hash of the id of a caller's attempt.
pub type AttemptTag = u64;
/// Hash of what a request asks for, without its caller.
pub type ContentTag = u64;
/// Hash of a request and its caller.
pub type RequestTag = u64;
/// Random number that a process draws at start and that identifies it until it exits.
pub type Incarnation = u64;
/// Version of the service list; higher versions replace lower ones.
pub type ListVersion = u64;
/// One attempt at a request: the entry's incarnation, then a sequence number.
pub type RunId = u128;
/// Hash of service, caller and idempotency key.
pub type KeyHash = u128;

/// Builds the id of attempt `seq` made by the entry `incarnation`.
pub fn run_id(incarnation: Incarnation, seq: u64) -> RunId {
    (RunId::from(incarnation) << 64) | RunId::from(seq)
}

/// Hashes `parts` with their lengths, so that lists with equal concatenations hash differently.
pub fn digest(parts: &[&[u8]]) -> u128 {
    let mut sha = sha2::Sha256::new();
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    let sum: [u8; 32] = sha.finalize().into();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&sum[..16]);
    u128::from_be_bytes(bytes)
}

/// Hash of the name of an availability zone.
pub fn zone_tag(zone: &str) -> ZoneTag {
    digest(&[zone.as_bytes()]) as ZoneTag
}

/// Hash of the name of a backend server.
pub fn server_tag(server: &str) -> ServerTag {
    digest(&[server.as_bytes()]) as ServerTag
}

/// Hash of the name of a customer.
pub fn customer_tag(customer: &str) -> CustomerTag {
    digest(&[b"customer", customer.as_bytes()]) as CustomerTag
}

/// Tag of the process of `server` that started at `started_ms`, if that is known.
pub fn process_tag(server: &str, started_ms: Option<u64>) -> ProcessTag {
    let start = started_ms.unwrap_or_default().to_be_bytes();
    digest(&[server.as_bytes(), &start]) as ProcessTag
}

/// Tag of the version `software` of the servers of a service.
pub fn software_tag(service: &str, software: &str) -> SoftwareTag {
    digest(&[service.as_bytes(), software.as_bytes()]) as SoftwareTag
}

/// Tag of the caller's attempt with the id `attempt`.
pub fn attempt_tag(attempt: &[u8]) -> AttemptTag {
    digest(&[attempt]) as AttemptTag
}

/// Tag of the part of prompts with the hexadecimal id `part`.
pub fn part_tag(part: &str) -> PartTag {
    u64::from_str_radix(part, 16).unwrap_or_else(|_| digest(&[part.as_bytes()]) as PartTag)
}

/// Tag of a request with `content` of the caller that is known by these parts.
pub fn request_tag(content: ContentTag, caller: &[&[u8]]) -> RequestTag {
    let content = content.to_be_bytes();
    let parts: Vec<&[u8]> = std::iter::once(&content[..]).chain(caller.iter().copied()).collect();
    digest(&parts) as RequestTag
}

/// Hash that identifies an idempotency key of `caller` at `service`.
pub fn key_hash(service: &str, caller: &str, key: &str) -> KeyHash {
    digest(&[service.as_bytes(), caller.as_bytes(), key.as_bytes()])
}

/// Lower-case hexadecimal SHA-256 of a caller key, as the service list holds it.
pub fn key_digest(key: &str) -> String {
    let sum = sha2::Sha256::digest(key.as_bytes());
    sum.iter().map(|byte| format!("{byte:02x}")).collect()
}
