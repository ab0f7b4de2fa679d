//! What an operator reads about a refused note.

use crate::{note_fault, refusal_reason, yaml_places};

/// What an operator reads about a refused note: every fault with its place and its fix.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("release note {name} is refused: {} to mend", count_of(.faults.len()))]
#[diagnostic(code(note::refused))]
pub struct NoteReport {
    /// Name of the file or value that holds the note.
    pub name: String,
    /// The faults, in the order of the checks.
    #[related]
    pub faults: Vec<PlacedFault>,
}

/// One fault of a note with its place in the text.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{name}:{line}:{column}: {reason}")]
#[diagnostic(help("{}", .reason.fix()))]
pub struct PlacedFault {
    /// Name of the file or value that holds the note.
    pub name: String,
    /// Line of the fault, from one.
    pub line: u64,
    /// Column of the fault, from one.
    pub column: u64,
    /// What the fault is.
    pub reason: refusal_reason::RefusalReason,
    /// The text of the note.
    #[source_code]
    pub source_code: miette::NamedSource<std::sync::Arc<str>>,
    /// The place in the text.
    #[label("here")]
    pub span: miette::SourceSpan,
}

impl NoteReport {
    /// Places faults in the text of a note.
    pub(crate) fn new(name: &str, text: &str, faults: Vec<note_fault::NoteFault>) -> Self {
        let places = yaml_places::YamlPlaces::new(text);
        let source: std::sync::Arc<str> = text.into();
        let faults = faults.into_iter().map(|fault| {
            let place = match &fault.place {
                Some(place) => places.find(place),
                None => places.find_key("revision"),
            };
            PlacedFault::new(name, &source, fault.reason, place)
        });
        Self {
            name: name.to_owned(),
            faults: faults.collect(),
        }
    }

    /// Reports one fault of a text that can't be read as a note.
    pub(crate) fn unreadable(
        name: &str,
        text: &str,
        reason: refusal_reason::RefusalReason,
        place: Option<serde_saphyr::Location>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            faults: vec![PlacedFault::new(name, &text.into(), reason, place)],
        }
    }
}

impl PlacedFault {
    fn new(
        name: &str,
        text: &std::sync::Arc<str>,
        reason: refusal_reason::RefusalReason,
        place: Option<serde_saphyr::Location>,
    ) -> Self {
        let (line, column) = place.map_or((1, 1), |place| (place.line(), place.column()));
        let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        let start = miette::SourceOffset::from_location(&**text, to_usize(line), to_usize(column));
        let rest = text.get(start.offset()..).unwrap_or_default();
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

fn count_of(faults: usize) -> String {
    match faults {
        1 => "one fault".to_owned(),
        faults => format!("{faults} faults"),
    }
}
