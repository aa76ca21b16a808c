//! Typed access to TOML tables that collects all problems.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::rc::Rc;
use toml::{Table, Value};

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// File name.
    pub file: String,
    /// Path of the key, such as `tenant[2].rate_tokens_per_second`, or a line number.
    pub key: String,
    /// What is wrong.
    pub fault: String,
    /// How to fix it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}; {}", self.file, self.key, self.fault, self.remedy)
    }
}

/// All problems found in one pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Collects the problems of a file.
#[derive(Clone, Default)]
pub(crate) struct Report(Rc<RefCell<Vec<Problem>>>);

impl Report {
    pub(crate) fn add(
        &self,
        file: &str,
        key: impl Into<String>,
        fault: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.0.borrow_mut().push(Problem {
            file: file.to_owned(),
            key: key.into(),
            fault: fault.into(),
            remedy: remedy.into(),
        });
    }

    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Problems> {
        let problems = self.0.take();
        if problems.is_empty() { Ok(value) } else { Err(Problems(problems)) }
    }
}

/// Parses TOML text; reports syntax errors with their line.
pub(crate) fn parse_table(file: &str, text: &str, report: &Report) -> Option<Table> {
    match text.parse::<Table>() {
        Ok(table) => Some(table),
        Err(error) => {
            let line = error
                .span()
                .map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let place = line.map_or_else(|| "file".to_owned(), |line| format!("line {line}"));
            report.add(file, place, error.message().to_owned(), "correct the TOML syntax");
            None
        }
    }
}

/// Reads a table; [`Reader::finish`] reports the keys that were not read.
pub(crate) struct Reader<'a> {
    file: &'a str,
    path: String,
    table: &'a Table,
    read_keys: RefCell<BTreeSet<String>>,
    report: Report,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, table: &'a Table, report: &Report) -> Self {
        Reader {
            file,
            path: String::new(),
            table,
            read_keys: RefCell::default(),
            report: report.clone(),
        }
    }

    pub(crate) fn key(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    pub(crate) fn problem(&self, name: &str, fault: impl Into<String>, remedy: impl Into<String>) {
        self.report.add(self.file, self.key(name), fault, remedy);
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        self.read_keys.borrow_mut().insert(name.to_owned());
        self.table.get(name)
    }

    fn wrong_type(&self, name: &str, value: &Value, expected: &str) {
        let fault = format!("is {} and not {expected}", article(value.type_str()));
        self.problem(name, fault, format!("write {expected}"));
    }

    fn missing(&self, name: &str, expected: &str) {
        self.problem(name, "is missing", format!("add {expected}"));
    }

    /// Whether a key exists.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    pub(crate) fn optional_string(&self, name: &str) -> Option<String> {
        match self.get(name)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            Value::String(_) => {
                self.problem(name, "is empty", "write a non-empty string");
                None
            }
            other => {
                self.wrong_type(name, other, "a string");
                None
            }
        }
    }

    /// Reads a required string; returns an empty one after reporting a problem.
    pub(crate) fn string(&self, name: &str) -> String {
        if !self.table.contains_key(name) {
            self.read_keys.borrow_mut().insert(name.to_owned());
            self.missing(name, "a string");
            return String::new();
        }
        self.optional_string(name).unwrap_or_default()
    }

    pub(crate) fn integer(&self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.get(name) else {
            return default;
        };
        let Value::Integer(number) = value else {
            self.wrong_type(name, value, "a whole number");
            return default;
        };
        match u64::try_from(*number) {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let fault = format!("is {number}, out of range");
                self.problem(name, fault, range_remedy(&range));
                default
            }
        }
    }

    pub(crate) fn fraction(&self, name: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let number = match self.get(name) {
            None => return default,
            Some(Value::Float(number)) => *number,
            Some(Value::Integer(number)) => *number as f64,
            Some(other) => {
                self.wrong_type(name, other, "a number");
                return default;
            }
        };
        if range.contains(&number) {
            return number;
        }
        let fault = format!("is {number}, out of range");
        self.problem(name, fault, format!("choose {} to {}", range.start(), range.end()));
        default
    }

    pub(crate) fn strings(&self, name: &str) -> Vec<String> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.wrong_type(name, value, "a list of strings");
            return Vec::new();
        };
        let mut strings = Vec::with_capacity(items.len());
        for (position, item) in items.iter().enumerate() {
            match item {
                Value::String(text) if !text.is_empty() => strings.push(text.clone()),
                other => self.wrong_type(&format!("{name}[{position}]"), other, "a string"),
            }
        }
        strings
    }

    /// Reads a sub-table; empty if absent.
    pub(crate) fn section(&self, name: &str) -> Reader<'a> {
        static EMPTY: std::sync::LazyLock<Table> = std::sync::LazyLock::new(Table::new);
        let table = match self.get(name) {
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.wrong_type(name, other, "a table");
                &EMPTY
            }
            None => &EMPTY,
        };
        self.child(self.key(name), table)
    }

    /// Reads an array of tables; empty if absent.
    pub(crate) fn sections(&self, name: &str) -> Vec<Reader<'a>> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.wrong_type(name, value, "a list of tables");
            return Vec::new();
        };
        let mut readers = Vec::with_capacity(items.len());
        for (position, item) in items.iter().enumerate() {
            let place = format!("{name}[{position}]");
            match item {
                Value::Table(table) => readers.push(self.child(self.key(&place), table)),
                other => self.wrong_type(&place, other, "a table"),
            }
        }
        readers
    }

    fn child(&self, path: String, table: &'a Table) -> Reader<'a> {
        Reader {
            file: self.file,
            path,
            table,
            read_keys: RefCell::default(),
            report: self.report.clone(),
        }
    }

    /// Reports all keys that were not read.
    pub(crate) fn finish(self) {
        let read_keys = self.read_keys.borrow();
        for name in self.table.keys().filter(|name| !read_keys.contains(*name)) {
            let known: Vec<&str> = read_keys.iter().map(String::as_str).collect();
            let remedy = format!("remove it, or use one of: {}", known.join(", "));
            self.problem(name, "is not a known key", remedy);
        }
    }
}

fn article(type_name: &str) -> String {
    match type_name {
        "integer" | "array" => format!("an {type_name}"),
        other => format!("a {other}"),
    }
}

fn range_remedy(range: &RangeInclusive<u64>) -> String {
    format!("choose {} to {}", range.start(), range.end())
}
