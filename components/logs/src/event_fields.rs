//! The fields of an event or a span as text.

use std::fmt;

use tracing::field;

/// Name of the field that holds the text of an event.
const MESSAGE_FIELD: &str = "message";

/// The fields of an event or a span as text, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventFields {
    pub(crate) message: String,
    pub(crate) pairs: Vec<(&'static str, String)>,
}

impl EventFields {
    /// Adds the fields of a span, except those that are there already.
    pub(crate) fn add_missing(&mut self, fields: &Self) {
        for (name, value) in &fields.pairs {
            if !self.pairs.iter().any(|(present, _)| present == name) {
                self.pairs.push((name, value.clone()));
            }
        }
    }

    fn set(&mut self, field: &field::Field, value: String) {
        if field.name() == MESSAGE_FIELD {
            self.message = value;
            return;
        }
        let present = self
            .pairs
            .iter_mut()
            .find(|(name, _)| *name == field.name());
        match present {
            Some((_, text)) => *text = value,
            None => self.pairs.push((field.name(), value)),
        }
    }
}

impl field::Visit for EventFields {
    fn record_str(&mut self, field: &field::Field, value: &str) {
        self.set(field, value.to_owned());
    }

    fn record_debug(&mut self, field: &field::Field, value: &dyn fmt::Debug) {
        self.set(field, format!("{value:?}"));
    }
}
