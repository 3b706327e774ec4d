//! Checked reading of INI sections, for the service list and all settings files.

use std::{
    collections::{self, btree_map},
    fmt, str, time,
};

use ini::{Ini, ParseOption, Properties};

/// A mistake in an INI text, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}; {}", self.line, self.message, self.remedy)
    }
}

/// One section of an INI text, with the mistakes found while reading it.
#[derive(Debug)]
pub struct Section {
    /// Name in the brackets.
    pub name: String,
    /// Line of the brackets, from 1.
    pub line: usize,
    fields: Properties,
    lines: collections::BTreeMap<String, usize>,
    read: Vec<String>,
    mistakes: Vec<Mistake>,
}

/// Splits `text` into sections.
///
/// # Errors
/// Returns a mistake for text that is not INI and for fields outside a section.
pub fn read_sections(text: &str) -> Result<Vec<Section>, Mistake> {
    if let Some(mistake) = scan_stray(text) {
        return Err(mistake);
    }
    let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, option).map_err(|err| Mistake {
        line: err.line + 1,
        message: format!("not INI: {}", err.msg),
        remedy: "write `[section]` and `key = value` lines".to_string(),
    })?;
    if !ini.general_section().is_empty() {
        return Err(Mistake {
            line: 1,
            message: "fields before the first section".to_string(),
            remedy: "move them below a `[section]` line".to_string(),
        });
    }
    let mut marks = scan_lines(text).into_iter();
    let mut sections = Vec::new();
    for (name, fields) in ini.iter().filter(|(name, _)| name.is_some()) {
        let name = name.unwrap_or_default().to_string();
        let mark = marks.next().unwrap_or_default();
        sections.push(Section::new(name, fields.clone(), mark));
    }
    Ok(sections)
}

// The INI library would join a line without `=` to the next one.
fn scan_stray(text: &str) -> Option<Mistake> {
    let is_known =
        |line: &str| line.is_empty() || line.starts_with(['#', ';', '[']) || line.contains('=');
    let (at, line) = text.lines().enumerate().find(|(_, line)| !is_known(line.trim()))?;
    Some(Mistake {
        line: at + 1,
        message: format!("`{}` is neither a section nor a field", line.trim()),
        remedy: "write `[section]` or `key = value`".to_string(),
    })
}

/// Text of one section with its brackets, its comments and what follows up to the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Name in the brackets; empty for the text before the first section.
    pub name: String,
    /// Text.
    pub text: String,
}

/// Texts of sections by name.
pub type Chunks<'a> = collections::BTreeMap<&'a str, &'a String>;

/// Splits a text into its sections; all chunks together are the text.
pub fn split_chunks(text: &str) -> Vec<Chunk> {
    let mut chunks = vec![Chunk { name: String::new(), text: String::new() }];
    for line in text.split_inclusive('\n') {
        if let Some(name) = scan_name(line) {
            chunks.push(Chunk { name, text: String::new() });
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.text.push_str(line);
        }
    }
    chunks
}

/// Finds chunks by name.
pub fn by_name(chunks: &[Chunk]) -> Chunks<'_> {
    chunks.iter().map(|chunk| (chunk.name.as_str(), &chunk.text)).collect()
}

fn scan_name(line: &str) -> Option<String> {
    let inner = line.trim().strip_prefix('[')?;
    Some(inner.split(']').next().unwrap_or(inner).trim().to_string())
}

#[derive(Default)]
struct Mark {
    line: usize,
    keys: collections::BTreeMap<String, usize>,
    doubles: Vec<(String, usize)>,
}

// The INI library keeps no line numbers, so a second scan finds them.
fn scan_lines(text: &str) -> Vec<Mark> {
    let mut marks: Vec<Mark> = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            marks.push(Mark { line: at + 1, ..Mark::default() });
        } else if let (Some(mark), Some((key, _))) = (marks.last_mut(), line.split_once('=')) {
            let key = key.trim().to_string();
            match mark.keys.entry(key) {
                btree_map::Entry::Occupied(first) => {
                    mark.doubles.push((first.key().clone(), at + 1));
                }
                btree_map::Entry::Vacant(slot) => {
                    slot.insert(at + 1);
                }
            }
        }
    }
    marks
}

impl Section {
    fn new(name: String, fields: Properties, mark: Mark) -> Section {
        let mistakes = mark.doubles.into_iter().map(|(key, line)| Mistake {
            line,
            message: format!("`{key}` stands twice in [{name}]"),
            remedy: "keep one of the two lines".to_string(),
        });
        let mistakes = mistakes.collect();
        Section { line: mark.line, fields, lines: mark.keys, read: Vec::new(), mistakes, name }
    }

    /// Makes a section without fields, for one that a file leaves out.
    pub fn empty(name: &str) -> Section {
        Section::new(name.to_string(), Properties::new(), Mark::default())
    }

    /// Value of `key`, if present.
    pub fn text(&mut self, key: &str) -> Option<String> {
        self.read.push(key.to_string());
        self.fields.get(key).map(|value| value.trim().to_string())
    }

    /// Value of `key`; a mistake is noted where it is missing or empty.
    pub fn required(&mut self, key: &str) -> String {
        match self.text(key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                let message = format!("[{}] has no `{key}`", self.name);
                self.record_at(self.line, message, format!("add a line `{key} = …`"));
                String::new()
            }
        }
    }

    /// Comma-separated values of `key`.
    pub fn words(&mut self, key: &str) -> Vec<String> {
        let value = self.text(key).unwrap_or_default();
        let words = value.split(',').map(str::trim).filter(|word| !word.is_empty());
        words.map(str::to_string).collect()
    }

    /// Value of `key` read by its `FromStr`, or `default`; `form` tells the wanted form.
    pub fn parsed<T: str::FromStr>(&mut self, key: &str, default: T, form: &str) -> T {
        self.read_with(key, default, form, |value| value.parse().ok())
    }

    /// Duration of `key` such as `250ms`, `10s` or `5m`, or `default`.
    pub fn duration(&mut self, key: &str, default: time::Duration) -> time::Duration {
        self.read_with(key, default, "a time such as 250ms, 10s or 5m", scan_duration)
    }

    /// Value `yes` or `no` of `key`, or `default`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        self.read_with(key, default, "yes or no", |value| match value {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    fn read_with<T>(
        &mut self,
        key: &str,
        default: T,
        form: &str,
        scan: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.text(key) else { return default };
        scan(&value).unwrap_or_else(|| {
            self.record_mistake(
                key,
                format!("`{key} = {value}` is not {form}"),
                format!("give {form}"),
            );
            default
        })
    }

    /// Line of `key`, or of the section where the key is absent.
    pub fn line_of(&self, key: &str) -> usize {
        self.lines.get(key).copied().unwrap_or(self.line)
    }

    /// Notes a mistake at `key`.
    pub fn record_mistake(&mut self, key: &str, message: String, remedy: String) {
        self.record_at(self.line_of(key), message, remedy);
    }

    fn record_at(&mut self, line: usize, message: String, remedy: String) {
        self.mistakes.push(Mistake { line, message, remedy });
    }

    /// Ends the reading: fields that nobody read are mistakes too.
    pub fn finish(mut self) -> Vec<Mistake> {
        for (key, line) in &self.lines {
            if !self.read.contains(key) {
                self.mistakes.push(Mistake {
                    line: *line,
                    message: format!("[{}] has an unknown field `{key}`", self.name),
                    remedy: format!("use one of: {}", self.read.join(", ")),
                });
            }
        }
        self.mistakes
    }
}

/// Reads a duration such as `250ms`, `10s`, `5m` or `2h`.
pub fn scan_duration(value: &str) -> Option<time::Duration> {
    let digits = value.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = value[..digits].parse().ok()?;
    let millis = match value[digits..].trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    Some(time::Duration::from_millis(count.checked_mul(millis)?))
}
