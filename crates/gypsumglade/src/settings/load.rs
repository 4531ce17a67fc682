//! Reads a settings file and reports all of its errors, not only the first.

use std::path::Path;

use serde_path_to_error::{Path as KeyPath, Segment, Track};
use serde_yaml_ng::{Mapping, Value};

use super::{Findings, Settings};

/// Maximum number of type errors reported. A file with more is probably not a settings file.
const MAX_TYPE_ERRORS: usize = 64;

/// Reads, parses and validates a settings file.
pub(super) fn from_file(path: &Path) -> Result<Settings, Findings> {
    match std::fs::read_to_string(path) {
        Ok(text) => from_text(path, &text),
        Err(error) => {
            let mut findings = Findings::new(path);
            findings.add("file", error, "a readable UTF-8 text file");
            Err(findings)
        }
    }
}

/// Parses and validates settings text; `path` names it in findings and resolves `file:` paths.
pub(super) fn from_text(path: &Path, text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::new(path);
    let Some(tree) = parse(text, &mut findings) else {
        return Err(findings);
    };
    let mut settings = decode(tree, &mut findings);
    let folder = path.parent().unwrap_or(Path::new(""));
    settings.tokens.resolve(folder, &mut findings);
    settings.check(&mut findings);
    if findings.list.is_empty() { Ok(settings) } else { Err(findings) }
}

fn parse(text: &str, findings: &mut Findings) -> Option<Value> {
    match serde_yaml_ng::from_str::<Value>(text) {
        Ok(Value::Null) => Some(Value::Mapping(Mapping::new())),
        Ok(tree) => Some(tree),
        Err(error) => {
            let place = match error.location() {
                Some(at) => format!("line {}, column {}", at.line(), at.column()),
                None => "file".to_owned(),
            };
            findings.add(&place, error, "valid YAML");
            None
        }
    }
}

/// Deserializes the tree, removing each invalid value and retrying until the rest is valid.
///
/// Serde stops at the first type error. Removing the invalid key makes its default apply, so that
/// the next pass finds the next error.
fn decode(mut tree: Value, findings: &mut Findings) -> Settings {
    for _ in 0..MAX_TYPE_ERRORS {
        let mut unknown = Vec::new();
        let mut track = Track::new();
        let decoder = serde_path_to_error::Deserializer::new(tree.clone(), &mut track);
        let result: Result<Settings, _> =
            serde_ignored::deserialize(decoder, |path| unknown.push(path.to_string()));
        let error = match result {
            Ok(settings) => {
                report_unknown(&tree, &unknown, findings);
                return settings;
            }
            Err(error) => error,
        };
        let path = track.path();
        let bad = remove_at(&mut tree, &path);
        findings.add(&path.to_string(), describe(bad.as_ref()), &error.to_string());
        if bad.is_none() {
            break;
        }
    }
    Settings::default()
}

fn report_unknown(tree: &Value, unknown: &[String], findings: &mut Findings) {
    for path in unknown {
        let allowed = known_keys(path);
        let value = path.split('.').try_fold(tree, |node, key| match key.parse::<usize>() {
            Ok(index) => node.get(index),
            Err(_) => node.get(key),
        });
        let found = format!("unknown key with value {}", describe(value));
        findings.add(path, found, allowed);
    }
}

/// Describes the keys that are valid in the section of an unknown key.
fn known_keys(path: &str) -> &'static str {
    if path.contains('.') {
        "a key that `gypsumglade settings example store` shows in this section"
    } else {
        "vm, listen, peers, discovery, gateway, threads, groups, store, tokens, operators, limits, policy, timeouts, log, tls"
    }
}

/// Removes and returns the value at `path`.
///
/// A list element that is neither a string nor a mapping is replaced by an empty mapping, so that
/// the indices of the other elements stay the same.
fn remove_at(tree: &mut Value, path: &KeyPath) -> Option<Value> {
    let segments: Vec<&Segment> = path.iter().collect();
    let (last, parents) = segments.split_last()?;
    let parent = parents.iter().try_fold(tree, |node, segment| child_mut(node, segment))?;
    match last {
        Segment::Map { key } => parent.as_mapping_mut()?.remove(key.as_str()),
        Segment::Seq { index } => {
            let list = parent.as_sequence_mut()?;
            let element = list.get_mut(*index)?;
            if element.is_mapping() {
                return None;
            }
            // An empty mapping in a list of strings would be reported as another error.
            if element.is_string() {
                return Some(list.remove(*index));
            }
            Some(std::mem::replace(element, Value::Mapping(Mapping::new())))
        }
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

fn child_mut<'a>(node: &'a mut Value, segment: &Segment) -> Option<&'a mut Value> {
    match segment {
        Segment::Map { key } => node.get_mut(key.as_str()),
        Segment::Seq { index } => node.get_mut(*index),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Formats a value on one line for a finding.
fn describe(value: Option<&Value>) -> String {
    match value {
        None => "nothing".to_owned(),
        Some(Value::Mapping(_)) => "a section".to_owned(),
        Some(Value::Sequence(_)) => "a list".to_owned(),
        Some(Value::String(text)) => format!("{text:?}"),
        Some(other) => serde_yaml_ng::to_string(other).unwrap_or_default().trim().to_owned(),
    }
}
