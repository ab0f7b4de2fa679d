//! Report on a refused release note, for operators.

use crate::{note_fault, refusal_reason, yaml_locations};

/// Report on a refused release note: all faults with their locations and fixes.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("release note {name} is refused: {}", fault_count_text(.faults.len()))]
#[diagnostic(code(note::refused))]
pub struct NoteReport {
    /// Name of the file or value that holds the note.
    pub name: String,
    /// All faults, in the order of the checks.
    #[related]
    pub faults: Vec<LocatedFault>,
}

/// One fault of a note with its location in the text.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{name}:{line}:{column}: {reason}")]
#[diagnostic(help("{}", .reason.fix()))]
pub struct LocatedFault {
    /// Name of the file or value that holds the note.
    pub name: String,
    /// Line of the fault, starting at one.
    pub line: u64,
    /// Column of the fault, starting at one.
    pub column: u64,
    /// Reason of the refusal.
    pub reason: refusal_reason::RefusalReason,
    /// Text of the note.
    #[source_code]
    pub source_code: miette::NamedSource<std::sync::Arc<str>>,
    /// Byte range in the text.
    #[label("here")]
    pub span: miette::SourceSpan,
}

impl NoteReport {
    /// Creates a report that locates the faults in the text of the note.
    pub(crate) fn new(name: &str, text: &str, faults: Vec<note_fault::NoteFault>) -> Self {
        let locations = yaml_locations::YamlLocations::new(text);
        let source: std::sync::Arc<str> = text.into();
        let faults = faults.into_iter().map(|fault| {
            let location = match &fault.location {
                Some(location) => locations.find(location),
                None => locations.find_key("revision"),
            };
            LocatedFault::new(name, &source, fault.reason, location)
        });
        Self {
            name: name.to_owned(),
            faults: faults.collect(),
        }
    }

    /// Creates a report on a text that is too large or can't be parsed as a note.
    pub(crate) fn unreadable(
        name: &str,
        text: &str,
        reason: refusal_reason::RefusalReason,
        location: Option<serde_saphyr::Location>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            faults: vec![LocatedFault::new(name, &text.into(), reason, location)],
        }
    }
}

impl LocatedFault {
    fn new(
        name: &str,
        text: &std::sync::Arc<str>,
        reason: refusal_reason::RefusalReason,
        location: Option<serde_saphyr::Location>,
    ) -> Self {
        let (line, column) =
            location.map_or((1, 1), |location| (location.line(), location.column()));
        let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        let start = miette::SourceOffset::from_location(&**text, to_usize(line), to_usize(column));
        let rest = text.get(start.offset()..).unwrap_or_default();
        // The label ends at the end of the line, or at the end of the value in YAML flow style.
        let length = rest
            .find(['\n', ',', '}', ']'])
            .unwrap_or(rest.len())
            .max(usize::from(!rest.is_empty()));
        Self {
            name: name.to_owned(),
            line,
            column,
            reason,
            source_code: miette::NamedSource::new(name, std::sync::Arc::clone(text)),
            span: miette::SourceSpan::new(start, length),
        }
    }
}

fn fault_count_text(faults: usize) -> String {
    match faults {
        1 => "one fault".to_owned(),
        faults => format!("{faults} faults"),
    }
}
