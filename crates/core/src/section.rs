//! Reads and checks INI sections, for the service list and all settings files.

use std::{
    collections::{self, btree_map},
    fmt, str, time,
};

use ini::{Ini, ParseOption, Properties};

/// A mistake in an INI text, with a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
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
    /// Line of the section header, from 1.
    pub line: usize,
    fields: Properties,
    // Line number of each field by key.
    lines: collections::BTreeMap<String, usize>,
    // Keys that were read; a field with any other key is unknown.
    known_keys: Vec<String>,
    mistakes: Vec<Mistake>,
}

/// Splits `text` into sections.
///
/// # Errors
/// Returns a mistake if the text is not INI or has a field outside a section.
pub fn read_sections(text: &str) -> Result<Vec<Section>, Mistake> {
    if let Some(mistake) = find_stray_line(text) {
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
    let mut scanned = scan_lines(text).into_iter();
    let mut sections = Vec::new();
    for (name, fields) in ini.iter().filter(|(name, _)| name.is_some()) {
        let name = name.unwrap_or_default().to_string();
        let lines = scanned.next().unwrap_or_default();
        sections.push(Section::new(name, fields.clone(), lines));
    }
    Ok(sections)
}

// Finds a line that is neither a section nor a field: the INI library would join a line without
// `=` to the next one.
fn find_stray_line(text: &str) -> Option<Mistake> {
    let is_known =
        |line: &str| line.is_empty() || line.starts_with(['#', ';', '[']) || line.contains('=');
    let (at, line) = text.lines().enumerate().find(|(_, line)| !is_known(line.trim()))?;
    Some(Mistake {
        line: at + 1,
        message: format!("`{}` is neither a section nor a field", line.trim()),
        remedy: "write `[section]` or `key = value`".to_string(),
    })
}

/// Text of one section, from its header up to the next header, with comments and blank lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Name in the brackets; empty for the text before the first section.
    pub name: String,
    /// Text as written, with line ends.
    pub text: String,
}

/// Section texts by section name.
pub type Chunks<'a> = collections::BTreeMap<&'a str, &'a String>;

/// Splits a text into its sections; the chunks joined in order yield the text again.
pub fn split_chunks(text: &str) -> Vec<Chunk> {
    let mut chunks = vec![Chunk { name: String::new(), text: String::new() }];
    for line in text.split_inclusive('\n') {
        if let Some(name) = parse_name(line) {
            chunks.push(Chunk { name, text: String::new() });
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.text.push_str(line);
        }
    }
    chunks
}

/// Indexes chunks by name.
pub fn by_name(chunks: &[Chunk]) -> Chunks<'_> {
    chunks.iter().map(|chunk| (chunk.name.as_str(), &chunk.text)).collect()
}

fn parse_name(line: &str) -> Option<String> {
    let inner = line.trim().strip_prefix('[')?;
    Some(inner.split(']').next().unwrap_or(inner).trim().to_string())
}

// Line numbers of one section: its header, its fields and repeated fields.
#[derive(Default)]
struct SectionLines {
    line: usize,
    keys: collections::BTreeMap<String, usize>,
    duplicates: Vec<(String, usize)>,
}

// Finds the line numbers, which the INI library does not keep.
fn scan_lines(text: &str) -> Vec<SectionLines> {
    let mut scanned: Vec<SectionLines> = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            scanned.push(SectionLines { line: at + 1, ..SectionLines::default() });
        } else if let (Some(lines), Some((key, _))) = (scanned.last_mut(), line.split_once('=')) {
            let key = key.trim().to_string();
            match lines.keys.entry(key) {
                btree_map::Entry::Occupied(first) => {
                    lines.duplicates.push((first.key().clone(), at + 1));
                }
                btree_map::Entry::Vacant(slot) => {
                    slot.insert(at + 1);
                }
            }
        }
    }
    scanned
}

impl Section {
    fn new(name: String, fields: Properties, lines: SectionLines) -> Section {
        let mistakes = lines.duplicates.into_iter().map(|(key, line)| Mistake {
            line,
            message: format!("`{key}` is given twice in [{name}]"),
            remedy: "keep one of the two lines".to_string(),
        });
        let mistakes = mistakes.collect();
        Section {
            line: lines.line,
            fields,
            lines: lines.keys,
            known_keys: Vec::new(),
            mistakes,
            name,
        }
    }

    /// Creates a section without fields, in place of one that a file omits.
    pub fn empty(name: &str) -> Section {
        Section::new(name.to_string(), Properties::new(), SectionLines::default())
    }

    /// Value of `key`, if present.
    pub fn text(&mut self, key: &str) -> Option<String> {
        self.known_keys.push(key.to_string());
        self.fields.get(key).map(|value| value.trim().to_string())
    }

    /// Value of `key`; records a mistake if it is missing or empty.
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

    /// Value of `key` parsed by `FromStr`, or `default` if it is missing. For an invalid value a
    /// mistake is recorded, in which `form` describes the expected form.
    pub fn parsed<T: str::FromStr>(&mut self, key: &str, default: T, form: &str) -> T {
        self.read_with(key, default, form, |value| value.parse().ok())
    }

    /// Duration of `key`, such as `250ms`, `10s` or `5m`, or `default` if it is missing.
    pub fn duration(&mut self, key: &str, default: time::Duration) -> time::Duration {
        self.read_with(key, default, "a time such as 250ms, 10s or 5m", parse_duration)
    }

    /// Value `yes` or `no` of `key`, or `default` if it is missing.
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
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.text(key) else { return default };
        parse(&value).unwrap_or_else(|| {
            self.record_mistake(
                key,
                format!("`{key} = {value}` is not {form}"),
                format!("give {form}"),
            );
            default
        })
    }

    /// Line of `key`, or of the section header if the key is absent.
    pub fn line_of(&self, key: &str) -> usize {
        self.lines.get(key).copied().unwrap_or(self.line)
    }

    /// Records a mistake at `key`.
    pub fn record_mistake(&mut self, key: &str, message: String, remedy: String) {
        self.record_at(self.line_of(key), message, remedy);
    }

    fn record_at(&mut self, line: usize, message: String, remedy: String) {
        self.mistakes.push(Mistake { line, message, remedy });
    }

    /// Returns the mistakes found; each field that was never read counts as unknown.
    pub fn finish(mut self) -> Vec<Mistake> {
        for (key, line) in &self.lines {
            if !self.known_keys.contains(key) {
                self.mistakes.push(Mistake {
                    line: *line,
                    message: format!("[{}] has an unknown field `{key}`", self.name),
                    remedy: format!("use one of: {}", self.known_keys.join(", ")),
                });
            }
        }
        self.mistakes
    }
}

/// Parses a duration such as `250ms`, `10s`, `5m` or `2h`.
pub fn parse_duration(value: &str) -> Option<time::Duration> {
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
