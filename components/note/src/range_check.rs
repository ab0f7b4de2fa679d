//! Checks that values are within their range.

use crate::{
    call_class, class_target, engine_entry, engine_role, entry_kind, fault_location,
    generation_class, note_entries, note_fault, note_section, refusal_reason, release_note,
};

/// Maximum length of a name, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// Maximum latency target or call timeout, in milliseconds: one hour.
const TIME_LIMIT_MS: u32 = 3_600_000;

/// Returns a fault for each value of `note` that is out of range.
pub(crate) fn faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut check = RangeCheck {
        section: note_section::NoteSection::Added,
        faults: Vec::new(),
    };
    check.check_entries(&note.added);
    check.section = note_section::NoteSection::Changed;
    check.check_entries(&note.changed);
    check.faults
}

struct RangeCheck {
    section: note_section::NoteSection,
    faults: Vec<note_fault::NoteFault>,
}

impl RangeCheck {
    fn check_entries(&mut self, entries: &note_entries::NoteEntries) {
        for model in &entries.models {
            self.check_name(entry_kind::EntryKind::Models, model.name.as_str());
        }
        for engine in &entries.engines {
            self.check_engine(engine);
        }
        for service in &entries.services {
            let kind = entry_kind::EntryKind::Services;
            let name = service.name.as_str();
            self.check_name(kind, name);
            let has_selector = service.path_prefix.is_some() || service.host.is_some();
            self.require(
                has_selector,
                kind,
                name,
                "path_prefix",
                "a path, unless `host` is set",
            );
            let prefix = service.path_prefix.as_deref();
            let absolute = prefix.is_none_or(|prefix| prefix.starts_with('/'));
            self.require(
                absolute,
                kind,
                name,
                "path_prefix",
                "a path that begins with `/`",
            );
        }
        for server in &entries.servers {
            let kind = entry_kind::EntryKind::Servers;
            self.check_name(kind, server.name.as_str());
            let positive = server.concurrency > 0;
            self.require(
                positive,
                kind,
                server.name.as_str(),
                "concurrency",
                "at least 1",
            );
        }
        for class in &entries.classes {
            let name = class.name.as_str();
            self.check_name(entry_kind::EntryKind::Classes, name);
            match &class.target {
                class_target::ClassTarget::Generation(generation) => {
                    self.check_generation(name, generation);
                }
                class_target::ClassTarget::Call(call) => self.check_call(name, call),
            }
        }
        for workspace in &entries.workspaces {
            let kind = entry_kind::EntryKind::Workspaces;
            let name = workspace.name.as_str();
            self.check_name(kind, name);
            self.require(workspace.weight > 0, kind, name, "weight", "at least 1");
            let positive = workspace.in_flight_limit > 0;
            self.require(positive, kind, name, "in_flight_limit", "at least 1");
        }
    }

    fn check_engine(&mut self, engine: &engine_entry::EngineEntry) {
        let name = engine.name.as_str();
        self.check_name(entry_kind::EntryKind::Engines, name);
        let prefills = engine.role != engine_role::EngineRole::Decode;
        let decodes = engine.role != engine_role::EngineRole::Prefill;
        let checks = [
            (!decodes || engine.decode_slots > 0, "decode_slots"),
            (engine.kv_pieces > 0, "kv_pieces"),
            (
                !prefills || engine.prefill_tokens_per_second > 0,
                "prefill_tokens_per_second",
            ),
            (engine.link_tokens_per_second > 0, "link_tokens_per_second"),
            (
                !decodes || engine.full_batch_token_ms > 0,
                "full_batch_token_ms",
            ),
            (!prefills || engine.retention_ms > 0, "retention_ms"),
        ];
        for (valid, field) in checks {
            self.require(
                valid,
                entry_kind::EntryKind::Engines,
                name,
                field,
                "at least 1",
            );
        }
    }

    fn check_generation(&mut self, name: &str, class: &generation_class::GenerationClass) {
        let kind = entry_kind::EntryKind::Classes;
        let valid_ms = 1..=TIME_LIMIT_MS;
        let range = "between 1 and 3600000";
        self.require(
            !class.models.is_empty(),
            kind,
            name,
            "models",
            "a list of at least one model",
        );
        self.require(
            valid_ms.contains(&class.first_token_ms),
            kind,
            name,
            "first_token_ms",
            range,
        );
        self.require(
            valid_ms.contains(&class.token_pace_ms),
            kind,
            name,
            "token_pace_ms",
            range,
        );
        let positive = class.output_limit_tokens > 0;
        self.require(positive, kind, name, "output_limit_tokens", "at least 1");
        let in_range = (1..=class.output_limit_tokens).contains(&class.expected_output_tokens);
        let expected = "between 1 and output_limit_tokens";
        self.require(in_range, kind, name, "expected_output_tokens", expected);
    }

    fn check_call(&mut self, name: &str, class: &call_class::CallClass) {
        let kind = entry_kind::EntryKind::Classes;
        let valid = (1..=TIME_LIMIT_MS).contains(&class.timeout_ms);
        self.require(valid, kind, name, "timeout_ms", "between 1 and 3600000");
        self.require(
            !class.routes.is_empty(),
            kind,
            name,
            "routes",
            "a list of at least one route",
        );
        for route in &class.routes {
            let uppercase = !route.method.is_empty()
                && route.method.bytes().all(|byte| byte.is_ascii_uppercase());
            self.require(
                uppercase,
                kind,
                name,
                "method",
                "an HTTP method in upper case",
            );
            let absolute = route.path.starts_with('/');
            self.require(absolute, kind, name, "path", "a path that begins with `/`");
        }
    }

    fn check_name(&mut self, kind: entry_kind::EntryKind, name: &str) {
        let length_valid = (1..=NAME_LIMIT_BYTES).contains(&name.len());
        let valid_characters = !name
            .chars()
            .any(|character| character.is_whitespace() || character.is_control());
        let expected = "1 to 128 bytes without whitespace or control characters";
        self.require(
            length_valid && valid_characters,
            kind,
            name,
            "name",
            expected,
        );
    }

    fn require(
        &mut self,
        valid: bool,
        kind: entry_kind::EntryKind,
        name: &str,
        field: &'static str,
        expected: &str,
    ) {
        if valid {
            return;
        }
        let location = fault_location::FaultLocation {
            section: self.section,
            kind,
            name: name.to_owned(),
            field: Some(field),
        };
        let reason = refusal_reason::RefusalReason::OutOfRange {
            key: field.to_owned(),
            name: name.to_owned(),
            expected: expected.to_owned(),
        };
        self.faults.push(note_fault::NoteFault {
            location: Some(location),
            reason,
        });
    }
}
