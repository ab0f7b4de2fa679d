//! Reads settings and turns what is wrong into problems with a place.

use std::{fs, path, sync};

use crate::{
    instance_settings, key_entry, key_tree, settings_error, settings_problem, value_check,
};

/// Reads and checks a settings file.
pub(crate) fn read_file(
    path: &path::Path,
) -> Result<instance_settings::InstanceSettings, settings_error::SettingsError> {
    let text =
        fs::read_to_string(path).map_err(|source| settings_error::SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
    read_text(&path.display().to_string(), &text)
}

/// Reads and checks settings; `file` names the source in problems.
pub(crate) fn read_text(
    file: &str,
    text: &str,
) -> Result<instance_settings::InstanceSettings, settings_error::SettingsError> {
    let report = ProblemReport::new(file, text);
    let settings = serde_saphyr::from_str::<instance_settings::InstanceSettings>(text)
        .map_err(|error| report.invalid(vec![report.syntax_problem(&error)]))?;
    let faults = value_check::faults(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    let mut problems: Vec<_> = faults
        .into_iter()
        .map(|fault| report.value_problem(fault))
        .collect();
    problems.sort_by_key(|problem| (problem.line, problem.column));
    Err(report.invalid(problems))
}

/// Knows the text, so that problems can point into it.
struct ProblemReport<'text> {
    file: &'text str,
    text: &'text str,
    tree: key_tree::KeyTree,
    source: sync::Arc<miette::NamedSource<String>>,
}

impl<'text> ProblemReport<'text> {
    fn new(file: &'text str, text: &'text str) -> Self {
        let source = miette::NamedSource::new(file, text.to_owned()).with_language("yaml");
        Self {
            file,
            text,
            tree: key_tree::KeyTree::from_yaml(text),
            source: sync::Arc::new(source),
        }
    }

    fn invalid(
        &self,
        problems: Vec<settings_problem::SettingsProblem>,
    ) -> settings_error::SettingsError {
        settings_error::SettingsError::Invalid {
            file: self.file.to_owned(),
            problems,
        }
    }

    fn value_problem(&self, fault: value_check::ValueFault) -> settings_problem::SettingsProblem {
        self.problem(
            self.tree.value_location(fault.key),
            fault.key.to_owned(),
            fault.message,
            fault.fix.to_owned(),
        )
    }

    fn syntax_problem(&self, error: &serde_saphyr::Error) -> settings_problem::SettingsProblem {
        let error = error.without_snippet();
        if let serde_saphyr::Error::SerdeMissingField { field, .. } = error {
            return self.missing_problem(field);
        }
        let location = error.location();
        let key = location.and_then(|place| self.tree.key_at(place));
        let (key, message, fix) = explain(error, key);
        self.problem(location, key, message, fix)
    }

    /// Returns the problem of a missing key, at the section it belongs in.
    fn missing_problem(&self, field: &str) -> settings_problem::SettingsProblem {
        let key = self.missing_key(field);
        let description = description_of(&key);
        let fix = if description.is_empty() {
            format!("add the section `{field}`; the settings reference names its keys")
        } else {
            format!("add `{field}`: {description}")
        };
        self.problem(
            self.tree.value_location(&key),
            key,
            "the key is missing".to_owned(),
            fix,
        )
    }

    /// Returns the dotted key of a field that is missing; the reader tells its name alone.
    fn missing_key(&self, field: &str) -> String {
        key_entry::key_entries()
            .into_iter()
            .filter(|entry| entry.required)
            .find_map(|entry| {
                let (section, name) = entry.key.rsplit_once('.')?;
                let missing =
                    name == field && self.tree.contains(section) && !self.tree.contains(&entry.key);
                missing.then(|| entry.key.clone())
            })
            .unwrap_or_else(|| field.to_owned())
    }

    fn problem(
        &self,
        location: Option<serde_saphyr::Location>,
        key: String,
        message: String,
        fix: String,
    ) -> settings_problem::SettingsProblem {
        let line = location.map_or(1, |place| place.line().max(1));
        let column = location.map_or(1, |place| place.column().max(1));
        settings_problem::SettingsProblem {
            file: self.file.to_owned(),
            line,
            column,
            key,
            message,
            fix,
            source_code: sync::Arc::clone(&self.source),
            span: self.span_at(line, column),
        }
    }

    /// Returns the span of the word that starts at a line and column.
    fn span_at(&self, line: u64, column: u64) -> miette::SourceSpan {
        let line_index = usize::try_from(line - 1).unwrap_or_default();
        let column_index = usize::try_from(column - 1).unwrap_or_default();
        let start: usize = self
            .text
            .split_inclusive('\n')
            .take(line_index)
            .map(str::len)
            .sum();
        let rest = &self.text[start..];
        let skipped: usize = rest.chars().take(column_index).map(char::len_utf8).sum();
        let word = rest[skipped..]
            .find(|sign: char| sign.is_whitespace() || sign == ':')
            .unwrap_or(rest.len() - skipped);
        (start + skipped, word).into()
    }
}

/// Returns the key, the message and the way to mend an error of reading.
fn explain(error: &serde_saphyr::Error, found: Option<String>) -> (String, String, String) {
    match error {
        serde_saphyr::Error::SerdeUnknownField {
            field, expected, ..
        } => (
            found.unwrap_or_else(|| field.clone()),
            "unknown key".to_owned(),
            format!("remove it or use one of: {}", expected.join(", ")),
        ),
        serde_saphyr::Error::SerdeUnknownVariant {
            variant, expected, ..
        } => (
            found.unwrap_or_default(),
            format!("unknown value `{variant}`"),
            format!("use one of: {}", expected.join(", ")),
        ),
        serde_saphyr::Error::DuplicateMappingKey { key, .. } => (
            found.or_else(|| key.clone()).unwrap_or_default(),
            "the key stands twice in one section".to_owned(),
            "keep one of the two".to_owned(),
        ),
        other => {
            let key = found.unwrap_or_else(|| "(document)".to_owned());
            let description = description_of(&key);
            let fix = if description.is_empty() {
                "check the indentation, colons and quotes around this place".to_owned()
            } else {
                format!("write a value that fits: {description}")
            };
            (key, message_of(other), fix)
        }
    }
}

/// Returns the message without the place, which the problem already names.
fn message_of(error: &serde_saphyr::Error) -> String {
    if let serde_saphyr::Error::InvalidScalar { ty, .. } = error
        && ty.starts_with('u')
    {
        return "the value is not a whole number, 0 or above".to_owned();
    }
    let options = serde_saphyr::render_options! {
        snippets: serde_saphyr::SnippetMode::Off,
    };
    let text = error.render_with_options(options);
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

fn description_of(key: &str) -> String {
    key_entry::key_entries()
        .into_iter()
        .find(|entry| entry.key == key)
        .map_or_else(String::new, |entry| entry.description)
}
