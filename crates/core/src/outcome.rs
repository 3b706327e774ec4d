//! Outcomes of requests, and the reasons for refusals and failures.

use std::{fmt, time};

use serde::{Deserialize, Serialize};

/// Default retry delay: a restarted server or a delayed service list is usually available after
/// about this time.
pub const RETRY_SOON: time::Duration = time::Duration::from_secs(1);

/// Final outcome of a request, or of one attempt at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller received the complete answer of the backend server.
    Answered,
    /// No attempt ran, and none can still run.
    NotRun,
    /// An attempt may have run.
    Unknown,
    /// The caller closed its connection before the end.
    Cancelled,
}

impl Outcome {
    /// Name used in headers, metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Cancelled => "cancelled",
        }
    }
}

/// Reason for a refusal or a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The request is malformed or lacks a required field.
    BadRequest,
    /// The body exceeds the limit.
    TooLarge,
    /// The endpoint does not allow this method.
    BadMethod,
    /// The request needs an idempotency key.
    KeyMissing,
    /// The caller key is unknown.
    UnknownCaller,
    /// The caller is not authorized to use the service.
    Forbidden,
    /// The service list has no such service.
    NoService,
    /// The caller exceeds its request rate.
    OverRate,
    /// The caller exceeds its fair share and there is no spare capacity.
    OverShare,
    /// The caller has too many requests in flight.
    OverConcurrent,
    /// No server has a free slot soon enough.
    NoRoom,
    /// The deadline has passed or can no longer be met.
    TooLate,
    /// The instance is shutting down.
    Leaving,
    /// No server of the service can be reached.
    NoServer,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// A request with the same idempotency key may have run before its record was lost.
    KeyUncertain,
    /// The agent's server is not the owner of the idempotency key.
    WrongHome,
    /// The agent's table of idempotency keys is full.
    RecordsFull,
    /// The backend server failed the request.
    EngineFailed,
    /// The backend server timed out.
    EngineSilent,
    /// The connection to the agent was lost after the request was sent.
    LostContact,
    /// The result of the prefill was evicted before the decode server fetched it.
    Evicted,
    /// The process has no service list yet.
    NoList,
    /// The attempt was withdrawn before it ran.
    Withdrawn,
    /// The engine has not yet loaded the model version of the service list.
    NotLoaded,
    /// The caller closed its connection.
    CallerGone,
    /// The prompt has a part that crashes servers.
    CrashingPrompt,
    /// The request crashes servers.
    CrashingRequest,
    /// It is not known which software version began the stream that the request takes up.
    UnknownVersion,
    /// No server of the software version that began the stream can be reached.
    VersionGone,
    /// The answer has no length, and HTTP/1.0 has no way to mark its end.
    OldProtocol,
}

/// All reasons, in the order of reports.
pub const REASONS: [Reason; 31] = [
    Reason::BadRequest,
    Reason::TooLarge,
    Reason::BadMethod,
    Reason::KeyMissing,
    Reason::UnknownCaller,
    Reason::Forbidden,
    Reason::NoService,
    Reason::OverRate,
    Reason::OverShare,
    Reason::OverConcurrent,
    Reason::NoRoom,
    Reason::TooLate,
    Reason::Leaving,
    Reason::NoServer,
    Reason::KeyRunning,
    Reason::KeyUncertain,
    Reason::WrongHome,
    Reason::RecordsFull,
    Reason::EngineFailed,
    Reason::EngineSilent,
    Reason::LostContact,
    Reason::Evicted,
    Reason::NoList,
    Reason::Withdrawn,
    Reason::NotLoaded,
    Reason::CallerGone,
    Reason::CrashingPrompt,
    Reason::CrashingRequest,
    Reason::UnknownVersion,
    Reason::VersionGone,
    Reason::OldProtocol,
];

impl Reason {
    /// Name used in answers, metrics, logs and reports.
    pub fn name(self) -> &'static str {
        self.texts().0
    }

    /// Advice to the caller.
    pub fn remedy(self) -> &'static str {
        self.texts().1
    }

    /// Whether the request may succeed at another server.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            Reason::NoRoom
                | Reason::Leaving
                | Reason::NoServer
                | Reason::EngineFailed
                | Reason::EngineSilent
                | Reason::LostContact
                | Reason::Evicted
                | Reason::Withdrawn
                | Reason::NotLoaded
                | Reason::NoList
        )
    }

    // Name and remedy.
    fn texts(self) -> (&'static str, &'static str) {
        match self {
            Reason::BadRequest => ("bad-request", "correct the request as the message says"),
            Reason::TooLarge => ("too-large", "send a smaller body"),
            Reason::BadMethod => ("bad-method", "use the method that the endpoint allows"),
            Reason::KeyMissing => {
                ("key-missing", "send an Idempotency-Key header that is unique to this request")
            }
            Reason::UnknownCaller => {
                ("unknown-caller", "send a valid caller key as `Authorization: Bearer KEY`")
            }
            Reason::Forbidden => ("forbidden", "ask the operator to allow this service for you"),
            Reason::NoService => ("no-service", "use the name of a service in the service list"),
            Reason::OverRate => ("over-rate", "send fewer requests a second; retry as told"),
            Reason::OverShare => {
                ("over-share", "others need the servers; send fewer requests, or retry as told")
            }
            Reason::OverConcurrent => {
                ("over-concurrent", "wait for your earlier requests to end; retry as told")
            }
            Reason::NoRoom => ("no-room", "all servers are busy; retry as told"),
            Reason::TooLate => ("too-late", "allow a longer deadline, or retry as told"),
            Reason::Leaving => ("leaving", "the instance is stopping; retry as told"),
            Reason::NoServer => ("no-server", "no server can be reached; retry as told"),
            Reason::KeyRunning => ("key-running", "the same key is running; retry as told"),
            Reason::KeyUncertain => (
                "key-uncertain",
                "the key may have run before a server lost its memory; check, or retry as told",
            ),
            Reason::WrongHome => ("wrong-home", "the server list is changing; retry as told"),
            Reason::RecordsFull => ("records-full", "too many keys are remembered; retry as told"),
            Reason::EngineFailed => ("engine-failed", "the backend server failed; retry as told"),
            Reason::EngineSilent => {
                ("engine-silent", "the backend server did not answer; retry as told")
            }
            Reason::LostContact => {
                ("lost-contact", "contact was lost while running; check before you retry")
            }
            Reason::Evicted => ("evicted", "the prefill result was evicted; retry as told"),
            Reason::NoList => ("no-list", "no service list is in force yet; retry as told"),
            Reason::Withdrawn => ("withdrawn", "the attempt was withdrawn; retry as told"),
            Reason::NotLoaded => ("not-loaded", "the server is loading its model; retry as told"),
            Reason::CrashingPrompt => (
                "crashing-prompt",
                "a part of the prompt has crashed the servers that answered it; \
                 change the prompt instead of a repeat",
            ),
            Reason::CrashingRequest => (
                "crashing-request",
                "the servers that ran this request have crashed; change it instead of a repeat",
            ),
            Reason::UnknownVersion => (
                "unknown-version",
                "it is not known which software version began the stream; retry as told, or send \
                 the request anew without an event id",
            ),
            Reason::VersionGone => (
                "version-gone",
                "no server of the software version that began the stream is left; retry as told, \
                 or send the request anew without an event id",
            ),
            Reason::OldProtocol => (
                "old-protocol",
                "use HTTP/1.1: the end of an answer without a length cannot be marked in HTTP/1.0",
            ),
            Reason::CallerGone => ("caller-gone", "keep the connection open until the answer ends"),
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Refusal or failure of a request, with its reason and the delay before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// Delay before a retry; `None` if a retry cannot succeed.
    pub retry: Option<time::Duration>,
}

impl Refusal {
    /// Refusal of a request that did not run and would be refused again.
    pub fn permanent(reason: Reason) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry: None }
    }

    /// Refusal of a request that did not run and may be retried after `retry`.
    pub fn not_run(reason: Reason, retry: time::Duration) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry: Some(retry) }
    }

    /// Failure of a request that may have run.
    pub fn unknown(reason: Reason, retry: time::Duration) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, retry: Some(retry) }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.outcome.name(), self.reason.remedy())
    }
}
