//! The file as read: sections, keys and values, with lines for findings.

use citronway_core::findings::{Finding, Findings, Place, Problem};
use indexmap::IndexMap;
use ini::{Ini, ParseOption};

use super::keys::{self, Key};

/// Form of the file's lines, as findings state it.
const LINE_FORM: &str = "`[section]`, `key = value`, or a comment on its own line after `;`";

/// The file as read.
#[derive(Debug)]
pub(super) struct Raw {
    file: String,
    values: IndexMap<Key, String>,
    lines: IndexMap<String, Vec<usize>>,
    findings: Findings,
}

impl Raw {
    /// A file without lines.
    pub(super) fn empty(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            values: IndexMap::new(),
            lines: IndexMap::new(),
            findings: Findings::new(),
        }
    }

    /// Reads the text; keys that do not exist or repeat become findings of it.
    ///
    /// # Errors
    ///
    /// Lines that are not of an INI file.
    pub(super) fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut raw = Self::empty(file);
        raw.scan_lines(text);
        if !raw.findings.is_empty() {
            return Err(raw.findings);
        }
        let opt = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(text, opt) {
            Ok(ini) => raw.take(&ini),
            Err(error) => return Err(Findings::from(raw.malformed(error.line))),
        }
        Ok(raw)
    }

    /// Value of a key, without white space around it.
    pub(super) fn value(&self, key: Key) -> Option<&str> {
        self.values.get(&key).map(String::as_str)
    }

    /// Place of a key, with its line if it is there.
    pub(super) fn place(&self, key: Key) -> Place {
        let path = key.to_string();
        let line = self.lines_of(&path).first().copied();
        Place {
            line,
            ..self.path(path)
        }
    }

    /// What was found while reading.
    pub(super) const fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Notes the lines of sections and keys, and lines that are none of an INI file.
    ///
    /// The library joins a line without `=` to the next one, so that the next
    /// key seems to be missing, and has no line numbers. Such a line may hold a
    /// secret whose `=` was forgotten, so its text is not shown.
    fn scan_lines(&mut self, text: &str) {
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if let Some(name) = section_name(line) {
                name.clone_into(&mut section);
                self.note_line(section.clone(), index + 1);
                continue;
            }
            let Some(name) = key_name(line) else {
                let finding = self.malformed(index + 1);
                self.findings.push(finding);
                continue;
            };
            self.note_line(format!("{section}.{name}"), index + 1);
        }
    }

    fn note_line(&mut self, path: String, line: usize) {
        self.lines.entry(path).or_default().push(line);
    }

    fn lines_of(&self, path: &str) -> &[usize] {
        self.lines.get(path).map_or(&[], Vec::as_slice)
    }

    fn take(&mut self, ini: &Ini) {
        let mut seen = Vec::new();
        for (section, properties) in ini {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            if !keys::all().any(|key| key.section == section) {
                self.unknown_section(section);
                continue;
            }
            if seen.contains(&section) {
                self.repeated(section.to_owned(), "each section once");
            }
            seen.push(section);
            for (name, value) in properties {
                self.take_key(section, name, value);
            }
        }
    }

    fn take_key(&mut self, section: &str, name: &str, value: &str) {
        let Some(key) = find(section, name) else {
            self.unknown_key(section, name);
            return;
        };
        let value = value.trim().to_owned();
        if self.values.insert(key, value).is_some() {
            self.repeated(key.to_string(), "each key once");
        }
    }

    fn unknown_section(&mut self, section: &str) {
        let known = names(keys::all().map(|key| key.section));
        let place = Place {
            line: self.lines_of(section).first().copied(),
            ..self.path(section.to_owned())
        };
        let expected = format!("one of {known}");
        self.findings
            .push(Finding::new(place, Problem::UnknownSection, expected));
    }

    /// Reports a key that does not exist.
    ///
    /// A secret that was pasted on a line of its own and ends in `=` reads like
    /// a key; what does not look like a key is therefore named by its line only.
    fn unknown_key(&mut self, section: &str, name: &str) {
        let of_section = keys::all().filter(|key| key.section == section);
        let known = names(of_section.map(|key| key.name));
        let path = format!("{section}.{name}");
        let line = self.lines_of(&path).first().copied();
        let shown = if looks_like_key(name) {
            path
        } else {
            section.to_owned()
        };
        let place = Place {
            line,
            ..self.path(shown)
        };
        let expected = format!("one of {known}");
        self.findings
            .push(Finding::new(place, Problem::UnknownKey, expected));
    }

    fn repeated(&mut self, path: String, expected: &str) {
        let line = self.lines_of(&path).last().copied();
        let place = Place {
            line,
            ..self.path(path)
        };
        self.findings
            .push(Finding::new(place, Problem::Repeated, expected));
    }

    fn malformed(&self, line: usize) -> Finding {
        let place = Place {
            line: Some(line),
            ..self.path("settings".to_owned())
        };
        Finding::new(place, Problem::Malformed, LINE_FORM)
    }

    fn path(&self, path: String) -> Place {
        Place {
            file: Some(self.file.clone()),
            path,
            ..Place::default()
        }
    }
}

fn find(section: &str, name: &str) -> Option<Key> {
    keys::all().find(|key| key.section == section && key.name == name)
}

fn names<'a>(all: impl Iterator<Item = &'a str>) -> String {
    let mut distinct: Vec<&str> = Vec::new();
    for name in all {
        if !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct.join(", ")
}

/// Name of the section that the line begins, if it begins one.
fn section_name(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?.strip_suffix(']')?;
    Some(inner.trim())
}

/// Name of the key that the line states, if it states one.
fn key_name(line: &str) -> Option<&str> {
    if line.starts_with('[') {
        return None;
    }
    let (name, _) = line.split_once(['=', ':'])?;
    Some(name.trim())
}

/// Whether the text looks like a key and not like a secret.
fn looks_like_key(name: &str) -> bool {
    name.bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
