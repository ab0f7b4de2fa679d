//! Bounds the request classes that are told apart.

use std::{collections, sync};

/// Request classes that are told apart at most.
const CLASS_LIMIT: usize = 64;

/// Label of all classes beyond the bound.
const OTHER_CLASSES: &str = "other";

/// Bounds the request classes that are told apart; the first ones seen keep their names.
#[derive(Debug, Default)]
pub(crate) struct ClassBound {
    seen: sync::Mutex<collections::BTreeSet<String>>,
}

impl ClassBound {
    /// Returns the label of a class.
    pub(crate) fn label(&self, class: &str) -> String {
        let mut seen = self
            .seen
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !seen.contains(class) {
            if seen.len() >= CLASS_LIMIT {
                return OTHER_CLASSES.to_owned();
            }
            seen.insert(class.to_owned());
        }
        class.to_owned()
    }
}
