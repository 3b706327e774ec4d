//! Operator commands on the platform: apply, show, status and drain.

use std::{fmt, time};

use hyper::{Method, header};
use serde_json::json;

use rhubarb_core::{change, revision};
use rhubarb_node::{client, clock, instances, platform, service_list, table};

use service_list::LIST_KEY;

use crate::settings;

/// Timeout of one call to an instance.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Failure of a command; each variant has its own exit code.
#[derive(Debug)]
pub enum CommandError {
    /// The input has mistakes.
    Input(String),
    /// The state on the platform is not the one that the command expects, for example because
    /// another list was applied.
    Conflict(String),
    /// The platform or an instance is unavailable.
    Unavailable(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Input(message) | CommandError::Conflict(message) => f.write_str(message),
            CommandError::Unavailable(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Exit code of the process.
    pub fn code(&self) -> u8 {
        match self {
            CommandError::Input(_) => 1,
            CommandError::Conflict(_) => 3,
            CommandError::Unavailable(_) => 4,
        }
    }
}

impl From<platform::PlatformError> for CommandError {
    fn from(err: platform::PlatformError) -> CommandError {
        CommandError::Unavailable(err.to_string())
    }
}

/// Output of a command.
#[derive(Clone, Debug)]
pub struct Output {
    /// Human-readable text.
    pub text: String,
    /// The same as JSON.
    pub json: serde_json::Value,
}

/// Runs the commands against the platform that the settings name.
#[derive(Debug)]
pub struct Commands {
    settings: settings::Settings,
    client: client::Client,
    table: table::Table,
}

impl Commands {
    /// Makes the commands for the platform in `settings`.
    pub fn new(settings: settings::Settings) -> Commands {
        let client = client::Client::single_use();
        let table = table::Table::new(&settings.platform.table);
        Commands { settings, client, table }
    }

    // The list in force, if any was applied.
    async fn current(&self) -> Result<Option<revision::Revision>, CommandError> {
        let Some(row) = self.table.read(LIST_KEY).await? else { return Ok(None) };
        revision::read_row(row.version, &row.value).map(Some).ok_or_else(|| {
            let message = "the list in force was written by another release; upgrade rhubarb-ctl";
            CommandError::Conflict(message.to_string())
        })
    }

    /// Applies `text` if the list in force has version `expected`, where 0 means none.
    ///
    /// # Errors
    /// Returns an error if `text` has mistakes, if another version is in force, and while the
    /// platform is unavailable.
    pub async fn apply(
        &self,
        file: &str,
        text: &str,
        expected: u64,
    ) -> Result<Output, CommandError> {
        crate::checks::check_text(file, text).map_err(CommandError::Input)?;
        let current = self.current().await?;
        let version = current.as_ref().map_or(0, |revision| revision.version);
        if version != expected {
            return Err(conflict(expected, version));
        }
        let content = revision::next_content(current.as_ref(), text, clock::unix_ms());
        let content = content.map_err(|_| CommandError::Input("the list has mistakes".into()))?;
        let write_id = format!("{:032x}", rand::random::<u128>());
        let writes = list_writes(current.as_ref(), &content, expected, &write_id);
        match self.table.commit(&writes).await {
            Ok(table::WriteOutcome::Committed(version)) => Ok(Output {
                text: format!("version {version} is accepted"),
                json: json!({ "version": version, "change": write_id }),
            }),
            Ok(table::WriteOutcome::Conflict(row)) => {
                Err(conflict(expected, row.map_or(0, |row| row.version)))
            }
            // The transaction may have been committed although its response was lost.
            Err(err) => Err(CommandError::Unavailable(format!(
                "{err}; whether change {write_id} took effect is unknown: \
                 run `rhubarb-ctl show` and compare its change before you apply again"
            ))),
        }
    }

    /// Shows the list in force.
    ///
    /// # Errors
    /// Returns an error while the platform is unavailable, and if no list was applied yet.
    pub async fn show(&self) -> Result<Output, CommandError> {
        let Some(row) = self.table.read(LIST_KEY).await? else {
            let message = "no list was applied yet; run `rhubarb-ctl apply FILE --expect 0`";
            return Err(CommandError::Conflict(message.to_string()));
        };
        let content: revision::Content = serde_json::from_str(&row.value).map_err(|err| {
            let message = format!("the list in force cannot be read: {err}; upgrade rhubarb-ctl");
            CommandError::Conflict(message)
        })?;
        let head = format!("# version {}, change {}\n", row.version, row.write_id);
        Ok(Output {
            text: format!("{head}{}", content.text),
            json: json!({ "version": row.version, "change": row.write_id, "text": content.text }),
        })
    }

    /// Shows all instances and the list version in force at each.
    ///
    /// # Errors
    /// Returns an error while the platform is unavailable.
    pub async fn status(&self) -> Result<Output, CommandError> {
        let current = self.current().await?.map_or(0, |revision| revision.version);
        let mut text = format!("list version {current}\n");
        let mut rows = Vec::new();
        for instance in self.instances().await? {
            let url = format!("http://{}/status", instance.http);
            let reply = self.client.get(&url, REQUEST_TIMEOUT).await.ok();
            let status: Option<serde_json::Value> =
                reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
            text.push_str(&status_line(&instance, status.as_ref()));
            rows.push(json!({ "instance": instance, "status": status }));
        }
        Ok(Output { text, json: json!({ "version": current, "instances": rows }) })
    }

    /// Asks an instance to accept no new requests.
    ///
    /// # Errors
    /// Returns an error for an unknown instance, and if it does not answer.
    pub async fn drain(&self, name: &str) -> Result<Output, CommandError> {
        let instances = self.instances().await?;
        let Some(instance) = instances.into_iter().find(|instance| instance.name == name) else {
            let message = format!("no instance `{name}`; run `rhubarb-ctl status` for their names");
            return Err(CommandError::Input(message));
        };
        self.drain_at(name, &format!("http://{}", instance.http)).await
    }

    /// Asks the instance `name` at `url` to accept no new requests, without the platform's list of
    /// instances.
    ///
    /// # Errors
    /// Returns an error if it does not answer.
    pub async fn drain_at(&self, name: &str, url: &str) -> Result<Output, CommandError> {
        let unavailable =
            |err: client::CallError| CommandError::Unavailable(format!("{name}: {err}"));
        let request = client::request(Method::POST, &format!("{url}/drain"), Default::default());
        let mut request = request.map_err(unavailable)?;
        let bearer = format!("Bearer {}", self.settings.shared_key);
        let bearer = header::HeaderValue::from_str(&bearer).map_err(|_| {
            CommandError::Input(
                "the shared key cannot be sent in a header; give printable ASCII in `shared_keys`"
                    .into(),
            )
        })?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        let reply = self.client.fetch(request, REQUEST_TIMEOUT).await.map_err(unavailable)?;
        if !reply.status.is_success() {
            let message = format!("{name} refused to drain: {}; check `shared_keys`", reply.status);
            return Err(CommandError::Input(message));
        }
        Ok(Output { text: format!("{name} is draining"), json: json!({ "draining": name }) })
    }

    async fn instances(&self) -> Result<Vec<instances::Instance>, CommandError> {
        let url = &self.settings.platform.instances;
        Ok(instances::Instances::new(url).read().await?)
    }
}

// Writes of the transaction that puts a list in force: the list, its head, and the change from the
// previous list. The change is empty for the first list and if sections were reordered; in both
// cases readers read the whole list.
fn list_writes(
    current: Option<&revision::Revision>,
    content: &revision::Content,
    expected: u64,
    write_id: &str,
) -> Vec<table::Write> {
    let change = current.and_then(|current| change::diff(current, content));
    let change = change.map(|change| json!(change).to_string()).unwrap_or_default();
    let write = |key: &str, expected, value| table::Write {
        key: key.to_string(),
        expected,
        write_id: write_id.to_string(),
        value,
    };
    vec![
        write(LIST_KEY, expected, json!(content).to_string()),
        write(service_list::HEAD_KEY, expected, String::new()),
        write(&service_list::change_key(expected + 1), 0, change),
    ]
}

fn conflict(expected: u64, found: u64) -> CommandError {
    CommandError::Conflict(format!(
        "version {found} is in force, not {expected}; run `rhubarb-ctl show`, merge, and apply \
         with --expect {found}"
    ))
}

fn status_line(instance: &instances::Instance, status: Option<&serde_json::Value>) -> String {
    let Some(status) = status else {
        return format!("{:<20} {:<14} no answer\n", instance.name, instance.zone);
    };
    let number = |key: &str| status.get(key).and_then(serde_json::Value::as_u64).unwrap_or(0);
    let is_leaving = status.get("leaving").and_then(serde_json::Value::as_bool);
    let state = if is_leaving == Some(true) { "leaving" } else { "live" };
    let usable = match instance.kind {
        instances::Kind::Entry => format!(" usable {}/{}", number("usable"), number("followed")),
        instances::Kind::Server => String::new(),
    };
    format!(
        "{:<20} {:<14} {state:<8} version {} open {}{usable}\n",
        instance.name,
        instance.zone,
        number("version"),
        number("open")
    )
}
