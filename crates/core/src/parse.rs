//! Parses and checks the text of a service list.

use std::{collections, sync, time};

use crate::{list, section};

use section::Mistake;

const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);
const DEFAULT_WINDOW: time::Duration = time::Duration::from_secs(600);
const DEFAULT_FIRST_TOKEN: time::Duration = time::Duration::from_millis(460);
const DEFAULT_BETWEEN_TOKENS: time::Duration = time::Duration::from_millis(74);
const DEFAULT_PLAIN_TARGET: time::Duration = time::Duration::from_millis(200);
const DEFAULT_MAX_WAIT: time::Duration = time::Duration::from_secs(2);
const DEFAULT_PLAIN_SLOTS: u32 = 64;
/// Requests per second.
const DEFAULT_CALLER_RATE: u32 = 100;
/// Requests in flight.
const DEFAULT_CALLER_CONCURRENCY: u32 = 50;
/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_HEX_DIGITS: usize = 64;

/// Parses and checks a service list.
///
/// # Errors
/// Returns every mistake found, ordered by line.
pub fn parse_list(text: &str) -> Result<list::ServiceList, Vec<Mistake>> {
    let mut reader = Reader::read(text)?;
    reader.check_depends();
    reader.check_cycles();
    reader.check_callers();
    reader.finish()
}

/// Parses single sections of a list that has already been checked as a whole.
///
/// # Errors
/// Returns the mistakes within the sections.
pub fn parse_sections(text: &str) -> Result<list::ServiceList, Vec<Mistake>> {
    Reader::read(text)?.finish()
}

#[derive(Default)]
struct Reader {
    list: list::ServiceList,
    // Line numbers of the sections, of the sections that name a server, and of the caller keys.
    lines: collections::BTreeMap<String, usize>,
    servers: collections::BTreeMap<String, usize>,
    digests: collections::BTreeMap<String, usize>,
    mistakes: Vec<Mistake>,
}

impl Reader {
    fn read(text: &str) -> Result<Reader, Vec<Mistake>> {
        let sections = section::read_sections(text).map_err(|mistake| vec![mistake])?;
        let mut reader = Reader::default();
        for section in sections {
            reader.read_section(section);
        }
        Ok(reader)
    }

    fn finish(mut self) -> Result<list::ServiceList, Vec<Mistake>> {
        self.mistakes.sort_by_key(|mistake| mistake.line);
        if self.mistakes.is_empty() { Ok(self.list) } else { Err(self.mistakes) }
    }

    fn read_section(&mut self, section: section::Section) {
        let header = section.name.clone();
        if let Some(line) = self.lines.insert(header.clone(), section.line) {
            let message = format!("[{header}] is given twice, first on line {line}");
            self.record_mistake(section.line, message, "merge the two sections");
            return;
        }
        match header.split_once(' ') {
            Some(("service", name)) if is_name(name) => self.read_service(name.trim(), section),
            Some(("caller", name)) if is_name(name) => self.read_caller(name.trim(), section),
            _ => self.record_mistake(
                section.line,
                format!("[{header}] is not a known section"),
                "write [service NAME] or [caller NAME] with letters, digits, `-`, `_` or `.`",
            ),
        }
    }

    fn read_service(&mut self, name: &str, mut section: section::Section) {
        let kind = match section.required("kind").as_str() {
            "model" => Some(list::Kind::Model(read_model(&mut section))),
            "plain" => Some(list::Kind::Plain(read_plain(&mut section))),
            "" => None,
            other => {
                let message = format!("`kind = {other}` is not a kind");
                section.record_mistake("kind", message, "give model or plain".to_string());
                None
            }
        };
        let depends = section.words("depends");
        let deadline = section.duration("deadline", DEFAULT_DEADLINE);
        let window = section.duration("retry_window", DEFAULT_WINDOW);
        let fenced = section.flag("fenced", false);
        if deadline.is_zero() {
            let message = "`deadline` is zero".to_string();
            section.record_mistake(
                "deadline",
                message,
                "give a positive time such as 60s".to_string(),
            );
        }
        if window < deadline {
            let message = "`retry_window` is shorter than `deadline`".to_string();
            section.record_mistake(
                "retry_window",
                message,
                "make it at least the deadline".to_string(),
            );
        }
        if let Some(kind) = kind {
            let name = name.to_string();
            let service =
                list::Service { name: name.clone(), depends, deadline, window, fenced, kind };
            self.record_servers(&service, &mut section);
            self.list.services.insert(name, sync::Arc::new(service));
            self.mistakes.extend(section.finish());
        } else {
            self.mistakes.extend(section.finish().into_iter().filter(is_not_unknown_field));
        }
    }

    fn record_servers(&mut self, service: &list::Service, section: &mut section::Section) {
        for server in service.all_servers() {
            if let Some(line) = self.servers.insert(server.clone(), section.line) {
                let message = format!("server `{server}` is already used on line {line}");
                section.record_mistake(
                    "servers",
                    message,
                    "give each server one service and role".into(),
                );
            }
        }
    }

    fn read_caller(&mut self, name: &str, mut section: section::Section) {
        let keys = section.words("keys");
        if keys.is_empty() {
            let message = format!("caller `{name}` has no `keys`");
            let remedy = "add `keys = ` with the SHA-256 digest that `rhubarb-ctl digest` prints";
            section.record_mistake("keys", message, remedy.to_string());
        }
        for key in &keys {
            let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if key.len() != DIGEST_HEX_DIGITS || !key.chars().all(is_hex) {
                let message = format!("a key of caller `{name}` is not a SHA-256 digest");
                let remedy = "give 64 lower-case hexadecimal digits, as `rhubarb-ctl digest` does";
                section.record_mistake("keys", message, remedy.to_string());
            } else if let Some(line) = self.digests.insert(key.clone(), section.line_of("keys")) {
                let message = format!("a key of caller `{name}` is already used on line {line}");
                section.record_mistake(
                    "keys",
                    message,
                    "give each caller keys of its own".to_string(),
                );
            }
        }
        let form = "a positive whole number";
        let rate = section.parsed("rate", DEFAULT_CALLER_RATE, form);
        let concurrent = section.parsed("concurrent", DEFAULT_CALLER_CONCURRENCY, form);
        for (key, value) in [("rate", rate), ("concurrent", concurrent)] {
            if value == 0 {
                section.record_mistake(key, format!("`{key}` is zero"), format!("give {form}"));
            }
        }
        let services = section.words("services");
        let name = name.to_string();
        let caller = list::Caller { name: name.clone(), keys, rate, concurrent, services };
        self.list.callers.insert(name, caller);
        self.mistakes.extend(section.finish());
    }

    // Services that have mistakes of their own count as listed too.
    fn is_listed(&self, service: &str) -> bool {
        self.lines.contains_key(&format!("service {service}"))
    }

    fn check_depends(&mut self) {
        let mut found = Vec::new();
        for service in self.list.services.values() {
            for name in &service.depends {
                if !self.is_listed(name) {
                    let message = format!("`{}` depends on unknown service `{name}`", service.name);
                    found.push((format!("service {}", service.name), message));
                }
            }
        }
        for (section, message) in found {
            self.record_mistake(
                self.lines[&section],
                message,
                "add that service or drop the dependency",
            );
        }
    }

    fn check_callers(&mut self) {
        let mut found = Vec::new();
        for caller in self.list.callers.values() {
            for name in &caller.services {
                if !self.is_listed(name) {
                    let message =
                        format!("caller `{}` names unknown service `{name}`", caller.name);
                    found.push((format!("caller {}", caller.name), message));
                }
            }
        }
        for (section, message) in found {
            self.record_mistake(self.lines[&section], message, "add that service or drop its name");
        }
    }

    fn check_cycles(&mut self) {
        let names: Vec<_> = self.list.services.keys().cloned().collect();
        for name in names {
            if self.reaches(&name, &name, &mut Vec::new()) {
                let line = self.lines[&format!("service {name}")];
                let message = format!("`{name}` depends on itself through its dependencies");
                self.record_mistake(line, message, "remove one dependency of the cycle");
            }
        }
    }

    fn reaches(&self, from: &str, goal: &str, seen: &mut Vec<String>) -> bool {
        let Some(service) = self.list.services.get(from) else { return false };
        service.depends.iter().any(|next| {
            if next == goal {
                return true;
            }
            if seen.contains(next) {
                return false;
            }
            seen.push(next.clone());
            self.reaches(next, goal, seen)
        })
    }

    fn record_mistake(&mut self, line: usize, message: String, remedy: &str) {
        self.mistakes.push(Mistake { line, message, remedy: remedy.to_string() });
    }
}

// Without a kind, it is not known which fields the section may have.
fn is_not_unknown_field(mistake: &Mistake) -> bool {
    !mistake.message.contains("unknown field")
}

fn is_name(name: &str) -> bool {
    let name = name.trim();
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
}

fn read_model(section: &mut section::Section) -> list::Model {
    let model = list::Model {
        weights: section.required("model"),
        version: section.parsed("version", 1, "a whole number"),
        adapters: section.words("adapters"),
        prefill: section.words("prefill"),
        decode: section.words("decode"),
        first_token: section.duration("first_token", DEFAULT_FIRST_TOKEN),
        between_tokens: section.duration("between_tokens", DEFAULT_BETWEEN_TOKENS),
        max_wait: section.duration("max_wait", DEFAULT_MAX_WAIT),
    };
    check_names(section, "prefill", &model.prefill);
    check_names(section, "decode", &model.decode);
    model
}

fn read_plain(section: &mut section::Section) -> list::Plain {
    let plain = list::Plain {
        servers: section.words("servers"),
        target: section.duration("target", DEFAULT_PLAIN_TARGET),
        once: read_once(section),
        slots: section.parsed("rooms", DEFAULT_PLAIN_SLOTS, "a whole number"),
    };
    check_names(section, "servers", &plain.servers);
    plain
}

fn read_once(section: &mut section::Section) -> Vec<list::Route> {
    let mut routes = Vec::new();
    for word in section.words("once") {
        match word.split_once(' ') {
            Some((method, path)) if path.starts_with('/') => routes.push(list::Route {
                method: method.to_ascii_uppercase(),
                path: path.trim().to_string(),
            }),
            _ => {
                let message = format!("`{word}` in `once` is not a method and a path");
                section.record_mistake(
                    "once",
                    message,
                    "write for example `POST /confirm`".to_string(),
                );
            }
        }
    }
    routes
}

fn check_names(section: &mut section::Section, key: &str, names: &[String]) {
    if names.is_empty() {
        let message = format!("[{}] names no server in `{key}`", section.name);
        section.record_mistake(key, message, format!("add `{key} = ` with server names"));
    }
    for name in names.iter().filter(|name| !is_name(name)) {
        let message = format!("`{name}` is not a server name");
        let remedy = "use letters, digits, `-`, `_` or `.`";
        section.record_mistake(key, message, remedy.to_string());
    }
}
