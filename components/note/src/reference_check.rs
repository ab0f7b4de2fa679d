//! Checks that every reference of a note names an existing entry.

use crate::{
    class_target, entry_kind, fault_location, note_entries, note_fault, note_section,
    refusal_reason, release_note, state_in_force,
};

/// Returns the dangling references in `after`, the state that results from `note`.
///
/// Only the entries that the note adds, changes or withdraws are checked, since the previous state
/// is valid.
pub(crate) fn faults(
    after: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> Vec<note_fault::NoteFault> {
    let mut check = ReferenceCheck {
        after,
        faults: Vec::new(),
    };
    check.check_entries(note_section::NoteSection::Added, &note.added);
    check.check_entries(note_section::NoteSection::Changed, &note.changed);
    for model in &note.withdrawn.models {
        check.check_withdrawn_model(model);
    }
    for service in &note.withdrawn.services {
        check.check_withdrawn_service(service);
    }
    check.faults
}

struct ReferenceCheck<'a> {
    after: &'a state_in_force::StateInForce,
    faults: Vec<note_fault::NoteFault>,
}

impl ReferenceCheck<'_> {
    fn check_entries(
        &mut self,
        section: note_section::NoteSection,
        entries: &note_entries::NoteEntries,
    ) {
        for engine in &entries.engines {
            let location = location(
                section,
                entry_kind::EntryKind::Engines,
                &engine.name,
                "models",
            );
            self.check_models(&location, &engine.models);
            self.check_server_name(section, entry_kind::EntryKind::Engines, &engine.name);
        }
        for server in &entries.servers {
            let location = location(
                section,
                entry_kind::EntryKind::Servers,
                &server.name,
                "service",
            );
            self.check_service(&location, &server.service);
            self.check_server_name(section, entry_kind::EntryKind::Servers, &server.name);
        }
        for class in &entries.classes {
            let kind = entry_kind::EntryKind::Classes;
            match &class.target {
                class_target::ClassTarget::Generation(generation) => {
                    self.check_models(
                        &location(section, kind, &class.name, "models"),
                        &generation.models,
                    );
                }
                class_target::ClassTarget::Call(call) => {
                    self.check_service(
                        &location(section, kind, &class.name, "service"),
                        &call.service,
                    );
                }
            }
        }
    }

    fn check_models(
        &mut self,
        location: &fault_location::FaultLocation,
        models: &[ids::ModelName],
    ) {
        for model in models {
            if !self.after.models.contains_key(model) {
                self.push_dangling(location, model);
            }
        }
    }

    fn check_service(
        &mut self,
        location: &fault_location::FaultLocation,
        service: &ids::ServiceName,
    ) {
        if !self.after.services.contains_key(service) {
            self.push_dangling(location, service);
        }
    }

    /// Checks that engines and servers of plain services, which share a namespace, have distinct
    /// names.
    fn check_server_name(
        &mut self,
        section: note_section::NoteSection,
        kind: entry_kind::EntryKind,
        name: &ids::ServerName,
    ) {
        let duplicate =
            self.after.servers.contains_key(name) && self.after.engines.contains_key(name);
        if !duplicate {
            return;
        }
        let location = fault_location::FaultLocation {
            section,
            kind,
            name: name.to_string(),
            field: None,
        };
        let reason = refusal_reason::RefusalReason::AlreadyExists {
            key: location.key(),
            name: name.to_string(),
        };
        self.push(location, reason);
    }

    fn check_withdrawn_model(&mut self, model: &ids::ModelName) {
        let class = self.after.classes.values().find(|class| {
            matches!(&class.target, class_target::ClassTarget::Generation(generation)
                if generation.models.contains(model))
        });
        let engine = self
            .after
            .engines
            .values()
            .find(|engine| engine.models.contains(model));
        let needed_by = class
            .map(|class| format!("class `{}`", class.name))
            .or_else(|| engine.map(|engine| format!("engine `{}`", engine.name)));
        self.push_still_needed(entry_kind::EntryKind::Models, model, needed_by);
    }

    fn check_withdrawn_service(&mut self, service: &ids::ServiceName) {
        let class = self.after.classes.values().find(|class| {
            matches!(&class.target, class_target::ClassTarget::Call(call)
                if call.service == *service)
        });
        let server = self
            .after
            .servers
            .values()
            .find(|server| server.service == *service);
        let needed_by = class
            .map(|class| format!("class `{}`", class.name))
            .or_else(|| server.map(|server| format!("server `{}`", server.name)));
        self.push_still_needed(entry_kind::EntryKind::Services, service, needed_by);
    }

    fn push_still_needed(
        &mut self,
        kind: entry_kind::EntryKind,
        name: impl std::fmt::Display,
        needed_by: Option<String>,
    ) {
        let Some(needed_by) = needed_by else {
            return;
        };
        let location = fault_location::FaultLocation {
            section: note_section::NoteSection::Withdrawn,
            kind,
            name: name.to_string(),
            field: None,
        };
        let reason = refusal_reason::RefusalReason::StillNeeded {
            key: location.key(),
            name: name.to_string(),
            needed_by,
        };
        self.push(location, reason);
    }

    fn push_dangling(
        &mut self,
        location: &fault_location::FaultLocation,
        name: impl std::fmt::Display,
    ) {
        let reason = refusal_reason::RefusalReason::DanglingReference {
            key: location.key(),
            name: name.to_string(),
        };
        self.push(location.clone(), reason);
    }

    fn push(
        &mut self,
        location: fault_location::FaultLocation,
        reason: refusal_reason::RefusalReason,
    ) {
        self.faults.push(note_fault::NoteFault {
            location: Some(location),
            reason,
        });
    }
}

fn location(
    section: note_section::NoteSection,
    kind: entry_kind::EntryKind,
    name: impl std::fmt::Display,
    field: &'static str,
) -> fault_location::FaultLocation {
    fault_location::FaultLocation {
        section,
        kind,
        name: name.to_string(),
        field: Some(field),
    }
}
